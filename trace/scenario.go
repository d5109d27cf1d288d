package trace

// user describes the fleet and the workload of one of the two users in section
// 1.1 of the design page.
type user struct {
	name                 string
	domains              []string
	instances            int
	weight               float64 // of fragmentation against completion time, 0 to 1
	service              string
	accounts             []Account
	smallType, longType  string // types of jobs
	urgentType           string // types of requests, with the two below
	normalType, onceType string
	urgentAccount        string
	onceAccount          string
	smallAccounts        []choice[string]
	longAccounts         []choice[string]
	smallShapes          []choice[string]
	longShapes           []choice[string]

	smallRate, longRate, urgentRate, normalRate float64 // jobs or requests an hour
}

var chirakkal = user{
	name: "chirakkal", domains: []string{"kochi", "kozhikode", "thrissur"}, instances: 6, weight: 0.3,
	service: "badges",
	accounts: []Account{
		{Kind: "account", Name: "schools", Weight: 3, Guarantees: []Guarantee{{"4x8@rack", 2}}},
		{Kind: "account", Name: "shops", Weight: 2, Quota: 300, Guarantees: []Guarantee{{"1x4@worker", 4}}},
		{Kind: "account", Name: "press", Weight: 1, Guarantees: []Guarantee{{"1x2@worker", 2}}},
		{Kind: "account", Name: "trial", Weight: 1},
	},
	smallType: "proof", longType: "sheet", urgentType: "name", normalType: "preview", onceType: "print",
	urgentAccount: "shops", onceAccount: "press",
	smallAccounts: []choice[string]{{6, "shops"}, {2, "press"}, {2, "trial"}},
	longAccounts:  []choice[string]{{9, "schools"}, {1, "trial"}},
	smallShapes:   []choice[string]{{12, "1x1@worker"}, {5, "1x2@worker"}, {2, "1x4@worker"}, {1, "2x2@rack"}},
	longShapes:    []choice[string]{{6, "4x8@rack"}, {2, "6x8@rack"}, {1, "8x8@domain"}, {1, "8x4@rack"}},
	smallRate:     62.5, longRate: 1.7, urgentRate: 20, normalRate: 5,
}

var sandalwood = user{
	name: "sandalwood", domains: []string{"ruwi", "seeb", "muttrah"}, instances: 9, weight: 0.7,
	service: "pricing",
	accounts: []Account{
		{Kind: "account", Name: "survey", Weight: 3, Guarantees: []Guarantee{{"4x8@rack", 3}}},
		{Kind: "account", Name: "dealers", Weight: 2, Quota: 300, Guarantees: []Guarantee{{"1x4@worker", 4}}},
		{Kind: "account", Name: "largest", Weight: 1, Guarantees: []Guarantee{{"1x2@worker", 2}}},
		{Kind: "account", Name: "house", Weight: 1},
	},
	smallType: "photo", longType: "survey", urgentType: "price", normalType: "appraisal", onceType: "listing",
	urgentAccount: "largest", onceAccount: "dealers",
	smallAccounts: []choice[string]{{5, "dealers"}, {2, "largest"}, {3, "house"}},
	longAccounts:  []choice[string]{{9, "survey"}, {1, "house"}},
	smallShapes:   []choice[string]{{14, "1x1@worker"}, {4, "1x2@worker"}, {1, "1x4@worker"}, {1, "2x2@rack"}},
	longShapes:    []choice[string]{{6, "4x8@rack"}, {2, "6x8@rack"}, {1, "8x8@rack"}, {1, "12x8@domain"}},
	smallRate:     54, longRate: 1.7, urgentRate: 22, normalRate: 5,
}

// smallBurst adds 400 small jobs that arrive within 20 s.
func smallBurst(b *builder) {
	for range 400 {
		b.addSmallJobRun(2*hour+b.rand.Int64N(20_000), b.between(6*minute, 24*minute))
	}
}

// largeBurst adds 14 long-running gang jobs that arrive within 10 s.
func largeBurst(b *builder) {
	for range 14 {
		b.addLargeJob(2*hour + b.rand.Int64N(10_000))
	}
}

// wrongSizes makes declared run times wrong by up to a factor of 100, or
// missing, and adds jobs that always fail and jobs whose shape or size is
// refused.
func wrongSizes(b *builder) {
	for i := range b.trace.Jobs {
		j := &b.trace.Jobs[i]
		switch b.rand.IntN(4) {
		case 0:
			j.Declared = max(1, j.Run/100)
		case 1:
			j.Declared = j.Run * 100
		case 2:
			j.Declared = 0
		}
	}
	for range 6 {
		id := b.addJob(Job{At: b.randomTime(), Type: "broken", Account: "trial", Shape: "1x2@worker", Run: minute, Declared: hour, Outcome: "failed"})
		b.expectEnd(id, "failed", "")
	}
	bad := []struct {
		shape         string
		cores, memory float64
		account       string
		reason        string
	}{
		{"9x8@rack", 0, 0, "schools", "impossible"},
		{"1x9@worker", 0, 0, "trial", "impossible"},
		{"17x8@domain", 0, 0, "schools", "impossible"},
		{"1x1@worker", 17, 0, "shops", "share"},
		{"4x8@rack", 0, 40, "schools", "share"},
		{"40x8@domain", 0, 0, "shops", "quota"},
	}
	for _, v := range bad {
		id := b.addJob(Job{At: b.randomTime(), Type: "wrong", Account: v.account, Shape: v.shape, Run: 10 * minute, Declared: 10 * minute, Cores: v.cores, Memory: v.memory})
		b.expectEnd(id, "refused", v.reason)
	}
}

// cancelWave adds a burst of small and large jobs and cancels three quarters of
// them within 3 s.
func cancelWave(b *builder) {
	at := int64(2 * hour)
	var ids []string
	for range 160 {
		ids = append(ids, b.addSmallJobRun(at+b.rand.Int64N(10_000), b.between(60*minute, 120*minute)))
	}
	for range 6 {
		ids = append(ids, b.addLargeJob(at+b.rand.Int64N(10_000)))
	}
	for i, id := range ids {
		if i%4 > 0 {
			b.trace.Cancels = append(b.trace.Cancels, Cancel{Kind: "cancel", At: at + 10*minute + b.rand.Int64N(3000), Job: id})
			b.expectEnd(id, "cancelled", "")
		}
	}
}

// addFault adds a fault.
func (b *builder) addFault(kind, target string, at, until int64) {
	b.trace.Faults = append(b.trace.Faults, Fault{Kind: "fault", Type: kind, Target: target, At: at, Until: until})
}

// failingWorkers adds three workers on which every task fails, and the temporary
// loss of two others.
func failingWorkers(b *builder) {
	b.addFault(FaultFailing, "kochi-r1-w0", hour, 5*hour)
	b.addFault(FaultFailing, "kozhikode-r1-w3", 70*minute, 4*hour)
	b.addFault(FaultFailing, "thrissur-r2-w7", 2*hour, 4*hour)
	b.addFault(FaultWorker, "kochi-r2-w2", 3*hour, 3*hour+2*minute)
	b.addFault(FaultWorker, "kozhikode-r2-w5", 3*hour, 6*hour)
}

// rackLoss adds the temporary loss of a rack.
func rackLoss(b *builder) {
	b.addFault(FaultRack, "seeb-r1", 150*minute, 6*hour)
}

// domainLoss adds the temporary loss of a failure domain.
func domainLoss(b *builder) {
	b.addFault(FaultDomain, "kozhikode", 150*minute, 6*hour)
}

// logOutage adds two outages of the log, and non-repeatable requests around the
// start of the first one that their callers resend through another instance.
func logOutage(b *builder) {
	b.addFault(FaultLog, "", 150*minute, 155*minute)
	b.addFault(FaultLog, "", 5*hour, 5*hour+20_000)
	for i := range 30 {
		b.addRequest(Request{
			At: 150*minute - 2000 + int64(i)*200, Type: b.user.onceType, Class: "bulk", Account: b.user.onceAccount,
			Once: true, Run: 2000, Deadline: 20_000, Resend: 3000,
		})
	}
}

// restart adds two restarts of all instances, whose new incarnations join after
// 5 s and 10 s. It adds non-repeatable requests around the first one that their
// callers resend.
func restart(b *builder) {
	b.addFault(FaultRestart, "", 150*minute, 150*minute+5000)
	b.addFault(FaultRestart, "", 5*hour, 5*hour+10_000)
	for i := range 30 {
		b.addRequest(Request{
			At: 150*minute - 3000 + int64(i)*200, Type: b.user.onceType, Class: "bulk", Account: b.user.onceAccount,
			Once: true, Run: 2000, Deadline: 20_000, Resend: 6000,
		})
	}
}
