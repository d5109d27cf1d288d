package settings

import (
	"os"
	"time"
)

// Settings holds the settings of one entry instance, which it reads at its start.
type Settings struct {
	Instance  Instance
	Platform  Platform
	Limits    Limits
	Times     Times
	Policy    Policy
	TLS       TLS
	Accounts  []Token // bearer tokens of the client accounts
	Operators []Token // bearer tokens of the operators
}

// Instance holds the instance's name, failure domain and listening addresses.
type Instance struct {
	Name         string
	Domain       string // failure domain
	PeerAddr     string // address of the net/rpc listener for other instances, IP:port
	CallerAddr   string // address of the HTTP listener for callers, IP:port
	OperatorAddr string // address of the HTTP listener for operators, metrics and health checks, IP:port
	Verbose      bool   // writes debug lines to the log
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	LogURL  string // base URL of the log
	ListURL string // base URL of the instance list
}

// Limits holds the limits of requests and connections, and the snapshot interval.
type Limits struct {
	MaxHeaderBytes     int // size of the headers of a request
	MaxBodyBytes       int // size of the body of a request
	MaxHeldBytes       int // size of the bodies of all callers' requests that are being read or worked on
	MaxConnections     int // open connections per listener
	MaxAccountRequests int // requests in flight per client account
	SnapshotRecords    int // log records between successive snapshots
}

// Times holds the instance's timeouts and intervals.
type Times struct {
	ReadTimeout       time.Duration // for reading one request
	IdleTimeout       time.Duration // after which an unused connection is closed
	LeaseDuration     time.Duration // of a lease on a worker's tasks, which is renewed three times within it
	IdleRoundInterval time.Duration // between scheduling rounds while nothing changes
	BalancerDelay     time.Duration // in which the load balancer notices that the instance is draining
	DrainTimeout      time.Duration // for requests in flight to end
	LogRetention      time.Duration // how long the platform's log keeps records
}

// Policy holds the weights of completion time and fragmentation in scheduling.
type Policy struct {
	CompletionWeight    float64
	FragmentationWeight float64
}

// TLS holds the paths of the PEM files. Without a certificate, no listener uses
// TLS.
type TLS struct {
	CertFile string // certificate for the IP addresses of the instance
	KeyFile  string
	CAFile   string // certificate authority of the instances and operators
	// RequireOperatorCert demands that operators present a client certificate of
	// the authority, in addition to their token.
	RequireOperatorCert bool
}

// Token is a bearer token and the name of its client account or operator.
type Token struct {
	Name   string
	Secret string
}

// Default returns the default settings, which a settings file overrides.
func Default() Settings {
	return Settings{
		Limits: Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, MaxHeldBytes: 128 << 20, MaxConnections: 1000, MaxAccountRequests: 200, SnapshotRecords: 20_000},
		Times: Times{
			ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute, LeaseDuration: 15 * time.Second,
			IdleRoundInterval: time.Second, BalancerDelay: 3 * time.Second, DrainTimeout: 30 * time.Second, LogRetention: 6 * time.Hour,
		},
		Policy: Policy{CompletionWeight: 1, FragmentationWeight: 1},
	}
}

// Read reads and checks the settings file at the path. It fails with *FileError
// or *CheckError.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{path, err}
	}
	return Parse(path, data)
}
