package fleet

// WantedQuotas returns the IDs of the quotas that live peers of the failure
// domain report to be short of.
func (view *View) WantedQuotas() map[uint32]bool {
	wanted := make(map[uint32]bool)
	for _, member := range view.members {
		if member.domain != view.self.Domain || !member.live {
			continue
		}
		for _, quota := range member.lastHeartbeat.WantedQuotas {
			wanted[quota.Quota] = true
		}
	}
	return wanted
}
