package entry

import (
	"context"
	"crypto/tls"
	"net"

	"jasminelane.example/lane/keys"
)

// secure puts TLS on all listeners when the settings name a certificate.
// Instances always prove themselves to each other; operators do so when the
// settings say it, callers by their tokens only.
func (n *Instance) secure() error {
	set := n.Settings.TLS
	if set.CertFile == "" {
		return nil
	}
	n.keys = &keys.Reloader{CertFile: set.CertFile, KeyFile: set.KeyFile, CAFile: set.CAFile}
	if err := n.keys.Load(); err != nil {
		return err
	}
	n.Peers = tls.NewListener(n.Peers, n.keys.ServerConfig(true))
	n.Callers = tls.NewListener(n.Callers, n.keys.ServerConfig(false))
	n.Operators = tls.NewListener(n.Operators, n.keys.ServerConfig(set.RequireOperatorCert))
	return nil
}

func (n *Instance) dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	config, err := n.keys.ClientConfig()
	if err != nil {
		return nil, err
	}
	return (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", addr)
}
