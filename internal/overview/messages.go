package overview

import "slices"

// Encode returns the report as a message.
func (r *Report) Encode() []byte {
	w := newWriter(1 << 10)
	w.name(r.Node)
	w.name(r.Zone)
	w.count(r.Incarnation)
	w.count(r.Sequence)
	w.count(uint64(max(r.IntervalMillis, 0)))
	w.workspaces(r.Workspaces)
	w.calls(r.Calls)
	if r.Upstream == nil {
		w.count(0)
		return w.buf
	}
	w.count(1)
	w.name(r.Upstream.Service)
	w.capacity(r.Upstream)
	return w.buf
}

// DecodeReport decodes a message of Report.Encode. The report is not validated.
func DecodeReport(raw []byte) (*Report, error) {
	d := newReader(raw)
	r := &Report{
		Node: d.name(), Zone: d.name(), Incarnation: d.count(), Sequence: d.count(), IntervalMillis: int64(d.integer()),
		Workspaces: d.workspaces(), Calls: d.calls(),
	}
	if d.count() == 1 {
		upstream := d.capacity(d.name())
		r.Upstream = &upstream
	}
	return r, d.end()
}

// Encode returns the sum as a message.
func (z *Zone) Encode() []byte {
	w := newWriter(4 << 10)
	w.header(z)
	w.workspaces(z.Workspaces)
	w.rest(z.Rest)
	w.calls(z.Calls)
	w.count(uint64(len(z.Services)))
	for i := range z.Services {
		w.name(z.Services[i].Service)
		w.capacity(&z.Services[i])
	}
	return w.buf
}

// DecodeZone decodes a message of Zone.Encode. The sum is not validated.
func DecodeZone(raw []byte) (*Zone, error) {
	d := newReader(raw)
	z := d.header()
	z.Workspaces, z.Rest, z.Calls = d.workspaces(), d.rest(), d.calls()
	for range d.length() {
		z.Services = append(z.Services, d.capacity(d.name()))
	}
	return &z, d.end()
}

func (w *writer) header(z *Zone) {
	w.name(z.Name)
	w.count(uint64(max(z.AgeMillis, 0)))
	w.count(uint64(max(z.Nodes, 0)))
}

func (r *reader) header() Zone {
	return Zone{Name: r.name(), AgeMillis: int64(r.integer()), Nodes: r.integer()}
}

// EncodeFor returns the view as the answer to a report. Workspaces and services are named by their
// place in the report.
func (v *View) EncodeFor(r *Report) []byte {
	w := newWriter(1 << 10)
	w.rest(v.Total)
	w.workspaces(v.Top)
	demand := make(map[string]float64, len(v.Workspaces))
	for _, x := range v.Workspaces {
		demand[x.Workspace] = x.PerSecond
	}
	for _, x := range r.Workspaces {
		w.value(demand[x.Workspace])
	}
	names := servicesOf(r)
	w.count(uint64(len(v.Zones)))
	for i := range v.Zones {
		z := &v.Zones[i]
		w.header(z)
		w.count(uint64(len(z.Calls)))
		for _, c := range z.Calls {
			w.place(names, c.Service)
			w.value(c.PerSecond)
		}
		w.count(uint64(len(z.Services)))
		for k := range z.Services {
			w.place(names, z.Services[k].Service)
			w.capacity(&z.Services[k])
		}
	}
	return w.buf
}

// DecodeView decodes the answer to a report. The view is not validated.
func DecodeView(raw []byte, r *Report) (*View, error) {
	d := newReader(raw)
	v := &View{Total: d.rest(), Top: d.workspaces()}
	for _, x := range r.Workspaces {
		if rate := d.value(); rate > 0 {
			v.Workspaces = append(v.Workspaces, WorkspaceDemand{x.Workspace, rate})
		}
	}
	names := servicesOf(r)
	for range d.length() {
		z := d.header()
		for range d.length() {
			z.Calls = append(z.Calls, ServiceDemand{d.place(names), d.value()})
		}
		for range d.length() {
			z.Services = append(z.Services, d.capacity(d.place(names)))
		}
		v.Zones = append(v.Zones, z)
	}
	return v, d.end()
}

func (w *writer) place(names []string, name string) {
	i, _ := slices.BinarySearch(names, name)
	w.count(uint64(i))
}

func (r *reader) place(names []string) string {
	i := r.count()
	if i >= uint64(len(names)) {
		r.fail()
		return ""
	}
	return names[i]
}
