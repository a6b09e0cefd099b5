package fleet

// Wanted returns the quotas of which peers of the domain are short.
func (view *View) Wanted() map[uint32]bool {
	wanted := make(map[uint32]bool)
	for _, member := range view.members {
		if member.domain != view.self.Domain || !member.live {
			continue
		}
		for _, quota := range member.last.Wants {
			wanted[quota.Quota] = true
		}
	}
	return wanted
}
