package daemon

import (
	"context"
	"log/slog"
	"sync"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
	"github.com/verbenaspur/verbenaspur/internal/platform"
)

// executePlatform executes an effect that calls the platform and posts its
// result. Passing any other effect is a programming error.
func executePlatform(ctx context.Context, wg *sync.WaitGroup, p *platform.Client, l *Loop, eff msg.Effect) {
	wg.Go(func() {
		if ev := p.Do(ctx, eff, l.Now); ev != nil {
			l.Post(ev)
		}
	})
}

// executeLink executes an effect that concerns the connections to other daemons.
// It returns false for any other effect.
func executeLink(ctx context.Context, wg *sync.WaitGroup, n *link.Node, eff msg.Effect) bool {
	switch eff := eff.(type) {
	case msg.Connect:
		n.SetAddr(link.Peer{Kind: eff.Kind, Host: eff.Host}, eff.Addr)
		n.KeepConnected(eff.Host)
	case msg.SetHostAddr:
		n.SetAddr(link.Peer{Kind: eff.Kind, Host: eff.Host}, eff.Addr)
	case msg.Disconnect:
		n.StopReconnecting(eff.Host)
	case msg.SendPeer:
		wg.Go(func() { _ = n.SendPeer(ctx, eff.To, eff.Message) })
	default:
		return false
	}
	return true
}

// postPeer decodes a frame with a peer message and posts the message. It drops a
// message that can't be decoded.
func postPeer(l *Loop, log *slog.Logger, p link.Peer, f *link.Frame) {
	m, err := link.DecodePeer(f)
	if err != nil {
		log.Warn("link: dropped a peer message that could not be decoded", "host", string(p.Host), "reason", err.Error())
		return
	}
	l.Post(msg.PeerReceived{From: p.Host, Message: m})
}

var logLevels = map[msg.LogLevel]slog.Level{
	msg.LogDebug: slog.LevelDebug,
	msg.LogInfo:  slog.LevelInfo,
	msg.LogWarn:  slog.LevelWarn,
	msg.LogError: slog.LevelError,
}

// writeLog writes a log line of the reducer.
func writeLog(log *slog.Logger, line msg.LogLine) {
	attrs := make([]slog.Attr, 0, len(line.Attrs))
	for _, a := range line.Attrs {
		attrs = append(attrs, slog.String(a.Key, a.Value))
	}
	log.LogAttrs(context.Background(), logLevels[line.Level], line.Component+": "+line.Text, attrs...)
}
