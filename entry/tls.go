package entry

import (
	"context"
	"crypto/tls"
	"net"

	"jasminelane.example/lane/keys"
)

// enableTLS wraps all listeners in TLS if the settings name a certificate.
// Instances always authenticate to each other with client certificates.
// Operators need a client certificate if the settings require it. Callers
// authenticate with their tokens only.
func (n *Instance) enableTLS() error {
	set := n.Settings.TLS
	if set.CertFile == "" {
		return nil
	}
	n.keys = &keys.Reloader{CertFile: set.CertFile, KeyFile: set.KeyFile, CAFile: set.CAFile}
	if err := n.keys.Load(); err != nil {
		return err
	}
	n.PeerListener = tls.NewListener(n.PeerListener, n.keys.ServerConfig(true))
	n.CallerListener = tls.NewListener(n.CallerListener, n.keys.ServerConfig(false))
	n.OperatorListener = tls.NewListener(n.OperatorListener, n.keys.ServerConfig(set.RequireOperatorCert))
	return nil
}

func (n *Instance) dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	config, err := n.keys.ClientConfig()
	if err != nil {
		return nil, err
	}
	return (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", addr)
}
