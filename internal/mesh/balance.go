package mesh

// applyBalance applies the settings by which calls are spread over uneven upstreams.
func (m *Mesh) applyBalance() {
	m.node.SetHandBack(m.Settings().Balance.HandBack)
}
