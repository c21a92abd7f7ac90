package overview

import (
	"encoding/binary"
	"slices"
)

// zonesHashBytes is the length of Report.ZonesHash in bytes.
const zonesHashBytes = 4

// Encode returns the report as a message.
func (r *Report) Encode() []byte {
	w := newWriter(1 << 10)
	w.name(r.Node)
	w.name(r.Zone)
	w.count(r.Incarnation)
	w.count(r.Sequence)
	w.count(uint64(max(r.IntervalMillis, 0)))
	w.buf = binary.BigEndian.AppendUint32(w.buf, r.ZonesHash)
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

// DecodeReport decodes a message of Report.Encode, with IDs in place of the names of workspaces. The report is not validated.
func DecodeReport(raw []byte) (*Report, error) {
	d := newReader(raw)
	r := &Report{
		Node: d.name(), Zone: d.name(), Incarnation: d.count(), Sequence: d.count(), IntervalMillis: int64(d.integer()),
		ZonesHash: binary.BigEndian.Uint32(d.take(zonesHashBytes)), Workspaces: d.workspaces(), Calls: d.calls(),
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
	w.count(uint64(len(z.Used)))
	w.buf = append(w.buf, z.Used...)
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
	if n := d.length(); n > 0 {
		z.Used = append(z.Used, d.take(n)...)
	}
	return &z, d.end()
}

func (w *writer) header(z *Zone) {
	w.name(z.Name)
	w.state(z)
}

func (w *writer) flag(set bool) {
	if set {
		w.count(1)
	} else {
		w.count(0)
	}
}

// state writes what the header of a zone holds besides its name.
func (w *writer) state(z *Zone) {
	w.count(uint64(max(z.AgeMillis, 0)))
	w.count(uint64(max(z.Nodes, 0)))
}

func (r *reader) header() Zone {
	z := Zone{Name: r.name()}
	z.AgeMillis, z.Nodes = r.state()
	return z
}

func (r *reader) state() (ageMillis int64, nodes int) { return int64(r.integer()), r.integer() }

// EncodeFor returns the view as the answer to a report. Workspaces and services are named by their
// place in the report, and the zones by their place in the node's last view if it had the same.
func (v *View) EncodeFor(r *Report) []byte {
	w := newWriter(1 << 10)
	w.rest(v.Total)
	demand := make(map[string]float64, len(v.Workspaces))
	for _, x := range v.Workspaces {
		demand[x.Workspace] = x.PerSecond
	}
	for _, x := range r.Workspaces {
		w.value(demand[x.Workspace])
	}
	w.top(v.Top, r)
	names := servicesOf(r)
	areKnown := len(v.Zones) > 0 && r.ZonesHash == hashZones(v)
	w.flag(areKnown)
	w.count(uint64(len(v.Zones)))
	for i := range v.Zones {
		z := &v.Zones[i]
		if !areKnown {
			w.name(z.Name)
		}
		w.state(z)
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

// DecodeView decodes the answer to a report, with IDs in place of the names of workspaces that the report
// doesn't name. The view is not validated.
func DecodeView(raw []byte, r *Report) (*View, error) {
	d := newReader(raw)
	v := &View{Total: d.rest()}
	rates := make([]float64, 0, len(r.Workspaces))
	for _, x := range r.Workspaces {
		rate := d.value()
		rates = append(rates, rate)
		if rate > 0 {
			v.Workspaces = append(v.Workspaces, WorkspaceDemand{x.Workspace, rate})
		}
	}
	v.Top = d.top(r, rates)
	names := servicesOf(r)
	areKnown := d.count() == 1
	length := d.length()
	if areKnown && length != len(r.zones) {
		return nil, errMessage
	}
	for i := range length {
		z := Zone{}
		if areKnown {
			z.Name = r.zones[i]
		} else {
			z.Name = d.name()
		}
		z.AgeMillis, z.Nodes = d.state()
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

// top writes the workspaces with the highest demand: those of the report by 1 and their place, the others by
// 0, ID and rate.
func (w *writer) top(list []WorkspaceDemand, r *Report) {
	places := make(map[string]int, len(r.Workspaces))
	for i, x := range r.Workspaces {
		places[x.Workspace] = i + 1
	}
	w.count(uint64(len(list)))
	for _, x := range list {
		place := places[x.Workspace]
		w.count(uint64(place))
		if place == 0 {
			w.workspace(x)
		}
	}
}

// top reads what writer.top wrote; rates are the rates of the workspaces of the report.
func (r *reader) top(report *Report, rates []float64) []WorkspaceDemand {
	var list []WorkspaceDemand
	for range r.length() {
		place := r.count()
		if place > uint64(len(rates)) {
			r.fail()
			return nil
		}
		if place == 0 {
			list = append(list, r.workspace())
			continue
		}
		list = append(list, WorkspaceDemand{report.Workspaces[place-1].Workspace, rates[place-1]})
	}
	return list
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
