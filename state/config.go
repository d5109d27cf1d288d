package state

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// Limits of configuration records.
const (
	MaxConfigBytes = 64 << 10
	MaxConfigs     = 20_000
	MaxWorkers     = 50_000 // including removed ones
)

// AccountBody is the body of a configuration record named account/NAME. Other
// fields are stored but not interpreted.
type AccountBody struct {
	Weight     float64         `json:"weight"` // relative share of unreserved capacity; 0 means 1
	Quota      int             `json:"quota"`  // largest number of accelerators in use; 0 means no limit
	Guarantees []GuaranteeBody `json:"guarantees"`
}

// GuaranteeBody guarantees Count copies of a shape such as "4x2@rack".
type GuaranteeBody struct {
	Shape string `json:"shape"`
	Count int    `json:"count"`
}

// RackBody is the body of a configuration record named rack/NAME.
type RackBody struct {
	Domain  string       `json:"domain"`
	Workers []WorkerBody `json:"workers"`
}

// WorkerBody is one worker of a rack; Memory is in GB.
type WorkerBody struct {
	Name   string  `json:"name"`
	Addr   string  `json:"addr"`
	GPUs   int     `json:"gpus"`
	Cores  float64 `json:"cores"`
	Memory float64 `json:"memory"`
}

// ServiceBody is the body of a configuration record named service/NAME.
type ServiceBody struct {
	Servers []ServerBody `json:"servers"`
}

// ServerBody is one backend server of a service.
type ServerBody struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Domain      string `json:"domain"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
}

// FieldError reports an invalid field of a configuration record.
type FieldError struct {
	Field  string
	Reason string
}

// Error describes the field and what is wrong with it.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Reason) }

// CheckConfig validates a configuration record without applying it and returns
// *FieldError if it is not valid.
func CheckConfig(name string, body []byte) error {
	family, local, ok := strings.Cut(name, "/")
	if !ok || local == "" || len(name) > MaxNameBytes {
		return &FieldError{"name", "want FAMILY/NAME of at most 128 bytes"}
	}
	if len(body) > MaxConfigBytes {
		return &FieldError{"body", fmt.Sprintf("%d bytes; at most %d", len(body), MaxConfigBytes)}
	}
	if len(body) == 0 {
		return nil
	}
	switch family {
	case "account":
		_, err := parseAccount(body)
		return err
	case "rack":
		_, err := parseRack(body)
		return err
	case "service":
		_, err := ParseService(body)
		return err
	case "policy":
		_, err := decodeObject[map[string]any](body)
		return err
	default:
		return &FieldError{"name", "family is none of account, rack, service, policy"}
	}
}

// decodeObject decodes a single JSON object; it fails with *FieldError.
func decodeObject[T any](body []byte) (T, error) {
	var v T
	if !bytes.HasPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("{")) {
		return v, &FieldError{"body", "not a JSON object"}
	}
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(&v); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return v, &FieldError{te.Field, "not a " + te.Type.String()}
		}
		return v, &FieldError{"body", err.Error()}
	}
	if _, err := d.Token(); err != io.EOF {
		return v, &FieldError{"body", "more than one JSON value"}
	}
	return v, nil
}

// parseAccount decodes the body of a configuration record named account/NAME;
// it fails with *FieldError.
func parseAccount(body []byte) (*Account, error) {
	v, err := decodeObject[AccountBody](body)
	if err != nil {
		return nil, err
	}
	a := &Account{Weight: v.Weight, Quota: v.Quota}
	if v.Weight < 0 || v.Weight > 1000 {
		return nil, &FieldError{"weight", "not in 0 to 1000"}
	}
	if a.Weight == 0 {
		a.Weight = 1
	}
	if v.Quota < 0 {
		return nil, &FieldError{"quota", "negative"}
	}
	if len(v.Guarantees) > 64 {
		return nil, &FieldError{"guarantees", "more than 64"}
	}
	total := 0
	for i, g := range v.Guarantees {
		field := fmt.Sprintf("guarantees[%d]", i)
		sh, err := shape.Parse(g.Shape)
		if err != nil {
			return nil, &FieldError{field + ".shape", err.Error()}
		}
		if g.Count < 1 || g.Count > 1000 {
			return nil, &FieldError{field + ".count", "not in 1 to 1000"}
		}
		total += sh.TotalGPUs() * g.Count
		a.Guarantees = append(a.Guarantees, Guarantee{sh, g.Count})
	}
	if v.Quota > 0 && total > v.Quota {
		return nil, &FieldError{"quota", fmt.Sprintf("%d is below the guarantees' total of %d", v.Quota, total)}
	}
	return a, nil
}

// parseRack decodes the body of a configuration record named rack/NAME; it
// fails with *FieldError.
func parseRack(body []byte) (*RackBody, error) {
	v, err := decodeObject[RackBody](body)
	if err != nil {
		return nil, err
	}
	if v.Domain == "" {
		return nil, &FieldError{"domain", "empty"}
	}
	if len(v.Workers) > 256 {
		return nil, &FieldError{"workers", "more than 256"}
	}
	seen := map[string]bool{}
	for i, w := range v.Workers {
		field := fmt.Sprintf("workers[%d]", i)
		switch {
		case w.Name == "" || seen[w.Name]:
			return nil, &FieldError{field + ".name", "empty or used twice"}
		case w.GPUs < 1 || w.GPUs > shape.MaxGPUs:
			return nil, &FieldError{field + ".gpus", fmt.Sprintf("not in 1 to %d", shape.MaxGPUs)}
		case w.Cores < 0:
			return nil, &FieldError{field + ".cores", "negative"}
		case w.Memory < 0:
			return nil, &FieldError{field + ".memory", "negative"}
		}
		seen[w.Name] = true
	}
	return &v, nil
}

// ParseService decodes the body of a configuration record named service/NAME;
// it fails with *FieldError.
func ParseService(body []byte) (*ServiceBody, error) {
	v, err := decodeObject[ServiceBody](body)
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i, b := range v.Servers {
		field := fmt.Sprintf("servers[%d]", i)
		switch {
		case b.Name == "" || seen[b.Name]:
			return nil, &FieldError{field + ".name", "empty or used twice"}
		case b.Addr == "":
			return nil, &FieldError{field + ".addr", "empty"}
		case b.Slots < 1:
			return nil, &FieldError{field + ".slots", "below 1"}
		case b.Connections < 1:
			return nil, &FieldError{field + ".connections", "below 1"}
		}
		seen[b.Name] = true
	}
	return &v, nil
}

// publish applies record.Publish: it replaces or deletes a configuration record
// whose version is still the one that the operator has read.
func (s *State) publish(b *record.Batch, p record.Publish) (Reason, string) {
	cur := s.Configs[p.Name]
	var version uint64
	if cur != nil {
		version = cur.Version
	}
	// The version is the entry's token, so a record can change only once in an
	// entry: two versions would be equal.
	if p.Base != version || cur != nil && version == s.entryToken() {
		return ReasonConflict, fmt.Sprint(version)
	}
	if cur == nil && len(p.Body) == 0 {
		return ReasonUnknown, p.Name
	}
	if cur == nil && len(s.Configs) >= MaxConfigs {
		return ReasonFull, "configs"
	}
	for _, m := range s.Members {
		if p.MinVersion > m.Version {
			return ReasonUpgrade, m.Name
		}
	}
	// Every program that applies this entry must support p.MinVersion. Older
	// programs stop at the batch, see UpgradeError.
	if p.MinVersion > max(b.MinVersion, 1) {
		return ReasonField, "reader: above the batch's"
	}
	if len(p.By) > MaxNameBytes {
		return ReasonField, "by"
	}
	if err := CheckConfig(p.Name, p.Body); err != nil {
		return ReasonField, err.Error()
	}
	family, name, _ := strings.Cut(p.Name, "/")
	var reason Reason
	var detail string
	switch family {
	case "account":
		reason, detail = s.publishAccount(name, p)
	case "rack":
		reason, detail = s.publishRack(name, p)
	}
	if reason != "" {
		return reason, detail
	}
	s.Configs[p.Name] = &Config{
		Name: p.Name, Version: s.Offset, Schema: p.Schema, MinVersion: p.MinVersion,
		By: p.By, Body: p.Body, Deleted: len(p.Body) == 0,
	}
	return "", ""
}

// publishAccount adds, replaces or removes an account and its blocks.
func (s *State) publishAccount(name string, p record.Publish) (Reason, string) {
	old := s.Accounts[name]
	if len(p.Body) == 0 {
		for _, j := range s.Jobs {
			if j.Spec.Account == name && !j.Phase.Terminal() && j.Phase != JobUnknown {
				return ReasonBusy, "account has jobs that have not ended"
			}
		}
		if old != nil {
			for _, b := range old.Blocks {
				s.unlinkBlock(b)
			}
		}
		delete(s.Accounts, name)
		return "", ""
	}
	a, err := parseAccount(p.Body)
	if err != nil {
		return ReasonField, err.Error()
	}
	a.Name, a.Revision = name, s.entryToken()
	if old != nil {
		a.Used = old.Used
	}
	blocks, reason, detail := s.planBlocks(a, old, p.Blocks)
	if reason != "" {
		return reason, detail
	}
	if old != nil {
		for _, b := range old.Blocks {
			s.unlinkBlock(b)
		}
	}
	a.Blocks = blocks
	s.Accounts[name] = a
	for _, b := range blocks {
		s.linkBlock(b)
	}
	if old != nil {
		s.updateAccountJobs(a, old.Blocks...)
	} else {
		s.updateAccountJobs(a)
	}
	return "", ""
}

// planBlocks returns a block for each copy of each guarantee of a: the block
// that the record proposes, otherwise the old account's block if it has the same
// shape.
func (s *State) planBlocks(a, old *Account, proposed []record.Block) ([]*Block, Reason, string) {
	var out []*Block
	ignoreOwn := func(b *Block) bool { return b.Account == a.Name }
	taken := map[uint32]shape.Mask{}
	for i, g := range a.Guarantees {
		for c := range g.Count {
			field := fmt.Sprintf("guarantees[%d]", i)
			b := &Block{Account: a.Name, GuaranteeIndex: i, Copy: c, Shape: g.Shape}
			k := slices.IndexFunc(proposed, func(p record.Block) bool { return p.GuaranteeIndex == i && p.Copy == c })
			if k >= 0 {
				b.Slots = proposed[k].Slots
			} else if o := findBlock(old, i, c); o != nil && o.Shape == g.Shape {
				b.Slots, b.Broken = o.Slots, o.Broken
			} else {
				return nil, ReasonInfeasible, field + ": no accelerators reserved"
			}
			if !b.Broken {
				if reason, detail := s.checkBlock(b, ignoreOwn); reason != "" {
					return nil, reason, field + ": " + detail
				}
				for _, sl := range b.Slots {
					if taken[sl.Worker]&sl.Mask != 0 {
						return nil, ReasonInfeasible, field + ": overlaps another block of the account"
					}
					taken[sl.Worker] |= sl.Mask
				}
			}
			out = append(out, b)
		}
	}
	return out, "", ""
}

// findBlock returns the account's block for a copy of a guarantee, or nil.
func findBlock(a *Account, guaranteeIndex, copyNumber int) *Block {
	if a == nil {
		return nil
	}
	for _, b := range a.Blocks {
		if b.GuaranteeIndex == guaranteeIndex && b.Copy == copyNumber {
			return b
		}
	}
	return nil
}

// publishRack adds or replaces a rack and its workers. Workers that the record
// does not name are removed.
func (s *State) publishRack(name string, p record.Publish) (Reason, string) {
	var body RackBody
	if len(p.Body) > 0 {
		v, err := parseRack(p.Body)
		if err != nil {
			return ReasonField, err.Error()
		}
		body = *v
	}
	rack := s.rack(name)
	if rack != nil && len(p.Body) > 0 && rack.Domain.Name != body.Domain {
		return ReasonField, "domain: a rack cannot change its failure domain"
	}
	keep := map[string]bool{}
	for i, w := range body.Workers {
		keep[w.Name] = true
		old := s.workerByName[w.Name]
		if old == nil {
			continue
		}
		if old.Rack != rack {
			return ReasonField, fmt.Sprintf("workers[%d].name: in use in rack %s", i, old.Rack.Name)
		}
		if old.GPUs != w.GPUs && (len(old.Tasks) > 0 || len(old.Blocks) > 0) {
			return ReasonBusy, fmt.Sprintf("workers[%d].gpus: worker has tasks or blocks", i)
		}
	}
	if rack != nil {
		for _, w := range rack.Workers {
			if !keep[w.Name] && !w.Removed && w.inUse() {
				return ReasonBusy, "worker " + w.Name + " has tasks or blocks; set it aside first"
			}
		}
	}
	if len(s.Workers)+len(body.Workers) > MaxWorkers {
		return ReasonFull, "workers"
	}
	if rack == nil {
		rack = s.addRack(name, body.Domain)
	}
	for _, w := range rack.Workers {
		w.Removed = !keep[w.Name]
		s.workerChanged(w)
	}
	for _, wb := range body.Workers {
		w := s.workerByName[wb.Name]
		if w == nil {
			w = &Worker{Index: uint32(len(s.Workers)), Name: wb.Name, Rack: rack, ConditionSince: s.Now}
			s.Workers = append(s.Workers, w)
			s.workerByName[wb.Name] = w
			rack.Workers = append(rack.Workers, w)
		}
		w.Addr, w.GPUs, w.Cores, w.Memory = wb.Addr, wb.GPUs, wb.Cores, wb.Memory
		s.workerChanged(w)
	}
	return "", ""
}

// rack returns the rack with the name, or nil.
func (s *State) rack(name string) *Rack {
	for _, r := range s.Racks {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// addRack adds a rack, and its failure domain if it is new.
func (s *State) addRack(name, domain string) *Rack {
	var d *Domain
	for _, x := range s.Domains {
		if x.Name == domain {
			d = x
		}
	}
	if d == nil {
		d = &Domain{Index: len(s.Domains), Name: domain}
		s.Domains = append(s.Domains, d)
	}
	r := &Rack{Index: len(s.Racks), Name: name, Domain: d}
	s.Racks = append(s.Racks, r)
	d.Racks = append(d.Racks, r)
	return r
}

// Worker returns the worker with the name, or nil.
func (s *State) Worker(name string) *Worker { return s.workerByName[name] }

// ParseGuarantees returns the guarantees in the body of a configuration record
// named account/NAME; it fails with *FieldError.
func ParseGuarantees(body []byte) ([]Guarantee, error) {
	a, err := parseAccount(body)
	if err != nil {
		return nil, err
	}
	return a.Guarantees, nil
}
