// Package chart draws results of experiments as PNG and SVG.
package chart
