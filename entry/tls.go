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
	if set.Cert == "" {
		return nil
	}
	n.keys = &keys.Keys{Cert: set.Cert, Key: set.Key, CA: set.CA}
	if err := n.keys.Load(); err != nil {
		return err
	}
	n.PeerListener = tls.NewListener(n.PeerListener, n.keys.Server(true))
	n.CallerListener = tls.NewListener(n.CallerListener, n.keys.Server(false))
	n.OperatorListener = tls.NewListener(n.OperatorListener, n.keys.Server(set.Operators))
	return nil
}

func (n *Instance) dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	config, err := n.keys.Client()
	if err != nil {
		return nil, err
	}
	return (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", addr)
}
