package platform

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

type objectJSON struct {
	Kind    msg.Kind    `json:"kind"`
	Name    string      `json:"name"`
	Version msg.Version `json:"version"`
	Value   []byte      `json:"value"`
	Deleted bool        `json:"deleted"`
}

type objectsJSON struct {
	Revision msg.Revision `json:"revision"`
	Objects  []objectJSON `json:"objects"`
}

type versionJSON struct {
	Version msg.Version `json:"version"`
}

type putJSON struct {
	Value []byte `json:"value"`
}

// ignoredBody decodes the bodies of responses whose content is not used.
type ignoredBody struct{}

func (o objectJSON) object() msg.Object {
	return msg.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value, Deleted: o.Deleted}
}

func (l objectsJSON) objects() []msg.Object {
	out := make([]msg.Object, 0, len(l.Objects))
	for _, o := range l.Objects {
		out = append(out, o.object())
	}
	return out
}

func formatVersion(v msg.Version) string { return strconv.FormatUint(uint64(v), 10) }

func (op *operation) objectURL(kind msg.Kind, name string) string {
	return op.client.cfg.Objects + "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func (op *operation) getObject(eff msg.GetObject) msg.Event {
	var o objectJSON
	status := op.do(&request{call: "get_object", method: http.MethodGet, url: op.objectURL(eff.Kind, eff.Name)}, &o)
	return msg.GetDone{Call: eff.Call, Status: status, Object: o.object()}
}

func (op *operation) listObjects(eff msg.ListObjects) msg.Event {
	u := op.client.cfg.Objects + "/v1/objects/" + url.PathEscape(string(eff.Kind)) + "?prefix=" + url.QueryEscape(eff.Prefix)
	var l objectsJSON
	status := op.do(&request{call: "list_objects", method: http.MethodGet, url: u}, &l)
	return msg.ListDone{Call: eff.Call, Status: status, Objects: l.objects(), Revision: l.Revision}
}

func (op *operation) putObject(eff msg.PutObject) msg.Event {
	var v versionJSON
	status := op.do(&request{
		call:     "put_object",
		method:   http.MethodPut,
		url:      op.objectURL(eff.Kind, eff.Name),
		ifMatch:  &eff.IfVersion,
		body:     putJSON{Value: eff.Value},
		notAfter: eff.NotAfter,
	}, &v)
	return msg.PutDone{Call: eff.Call, Status: status, Version: v.Version}
}

func (op *operation) deleteObject(eff msg.DeleteObject) msg.Event {
	status := op.do(&request{
		call:    "delete_object",
		method:  http.MethodDelete,
		url:     op.objectURL(eff.Kind, eff.Name),
		ifMatch: &eff.IfVersion,
	}, &ignoredBody{})
	return msg.PutDone{Call: eff.Call, Status: status}
}

func (op *operation) watchObjects(eff msg.WatchObjects) msg.Event {
	q := url.Values{}
	q.Set("since", strconv.FormatUint(uint64(eff.Since), 10))
	q.Set("wait", strconv.FormatInt(eff.Wait.Milliseconds(), 10))
	u := op.client.cfg.Objects + "/v1/watch/" + url.PathEscape(string(eff.Kind)) + "?" + q.Encode()
	var l objectsJSON
	status := op.do(&request{call: "watch_objects", method: http.MethodGet, url: u, wait: eff.Wait}, &l)
	return msg.WatchDone{Call: eff.Call, Status: status, Objects: l.objects(), Revision: l.Revision}
}
