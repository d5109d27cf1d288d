package settings

import (
	"os"
	"time"
)

// Settings is what one entry instance is told at its start.
type Settings struct {
	Instance  Instance
	Platform  Platform
	Limits    Limits
	Times     Times
	Policy    Policy
	TLS       TLS
	Accounts  []Token // who may call, by client account
	Operators []Token // who may operate, by operator
}

// Instance says who the instance is and where it listens.
type Instance struct {
	Name      string
	Domain    string // failure domain
	Peers     string // net/rpc address, IP:port
	Callers   string // HTTP address for callers, IP:port
	Operators string // HTTP address for operators, metrics and health, IP:port
	Verbose   bool   // debug lines in the log
}

// Platform says where the platform's services are.
type Platform struct {
	Log  string // base URL of the log
	List string // base URL of the instance list
}

// Limits bounds what each listener accepts.
type Limits struct {
	Header      int // bytes of request headers
	Body        int // bytes of a request body
	Connections int // open connections for each listener
	Requests    int // requests in flight for each account
	Snapshot    int // log records between two snapshots
}

// Times are the instance's intervals.
type Times struct {
	Read      time.Duration // to read one request
	Idle      time.Duration // of an unused connection
	Lease     time.Duration // of a worker's tasks; renewed three times in each
	Round     time.Duration // between scheduling rounds without a change
	Balancer  time.Duration // for the balancer to see that the instance leaves
	Drain     time.Duration // for work in flight to end
	Retention time.Duration // of the platform's log records
}

// Policy weighs completion time against fragmentation.
type Policy struct {
	Completion    float64
	Fragmentation float64
}

// TLS names PEM files; without a certificate all listeners are plain.
type TLS struct {
	Cert string // with the IP numbers of the instance
	Key  string
	CA   string // that signs the instances' certificates, and those of operators
	// Operators makes operators prove themselves by a certificate of CA, besides
	// their token.
	Operators bool
}

// Token is a bearer token and the name it stands for.
type Token struct {
	Name   string
	Secret string
}

// Default returns the settings before a file is read.
func Default() Settings {
	return Settings{
		Limits: Limits{Header: 16 << 10, Body: 1 << 20, Connections: 1000, Requests: 200, Snapshot: 20_000},
		Times: Times{
			Read: 10 * time.Second, Idle: time.Minute, Lease: 15 * time.Second,
			Round: time.Second, Balancer: 3 * time.Second, Drain: 30 * time.Second, Retention: 6 * time.Hour,
		},
		Policy: Policy{Completion: 1, Fragmentation: 1},
	}
}

// Read reads and checks a settings file; it fails with *FileError or
// *CheckError.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{path, err}
	}
	return Parse(path, data)
}
