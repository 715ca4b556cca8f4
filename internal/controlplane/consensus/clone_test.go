package consensus

import (
	"encoding/binary"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"unsafe"
)

// A Replica is copied and told from others by its memory, whatever its fields are: none is forgotten as the code
// changes.

type handler struct {
	plain bool // no pointers in it: its bytes are all
	copy  func(dst, src unsafe.Pointer)
	key   func(b []byte, p unsafe.Pointer) []byte
}

var (
	handlers   = map[reflect.Type]*handler{}
	handlersMu sync.Mutex
)

// skipped are fields that say nothing of what a Replica will do.
var skipped = map[string]bool{
	"Replica.options":  true,
	"Replica.actions":  true,
	"Replica.writeSeq": true,
	"request.change":   true,
}

func handlerOf(t reflect.Type) *handler {
	handlersMu.Lock()
	defer handlersMu.Unlock()
	return build(t)
}

func raw(p unsafe.Pointer, size uintptr) []byte { return unsafe.Slice((*byte)(p), size) }

func build(t reflect.Type) *handler {
	if h := handlers[t]; h != nil {
		return h
	}
	h := &handler{}
	handlers[t] = h
	size := t.Size()
	h.copy = func(dst, src unsafe.Pointer) { copy(raw(dst, size), raw(src, size)) }
	switch t.Kind() {
	case reflect.Bool, reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64, reflect.Uint, reflect.Uint8,
		reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Float64:
		h.plain = true
		h.key = func(b []byte, p unsafe.Pointer) []byte { return append(b, raw(p, size)...) }
	case reflect.String:
		h.copy = func(dst, src unsafe.Pointer) { *(*string)(dst) = *(*string)(src) }
		h.key = func(b []byte, p unsafe.Pointer) []byte {
			s := *(*string)(p)
			return append(binary.AppendUvarint(b, uint64(len(s))), s...)
		}
	case reflect.Func, reflect.Interface:
		h.copy = func(dst, src unsafe.Pointer) { reflect.NewAt(t, dst).Elem().Set(reflect.NewAt(t, src).Elem()) }
		h.key = func(b []byte, _ unsafe.Pointer) []byte { return b }
	case reflect.Pointer:
		e, elem := t.Elem(), build(t.Elem())
		h.copy = func(dst, src unsafe.Pointer) {
			if from := *(*unsafe.Pointer)(src); from != nil {
				to := reflect.New(e).UnsafePointer()
				elem.copy(to, from)
				*(*unsafe.Pointer)(dst) = to
			} else {
				*(*unsafe.Pointer)(dst) = nil
			}
		}
		h.key = func(b []byte, p unsafe.Pointer) []byte {
			if at := *(*unsafe.Pointer)(p); at != nil {
				return elem.key(append(b, 1), at)
			}
			return append(b, 0)
		}
	case reflect.Slice:
		e, elem := t.Elem(), build(t.Elem())
		step := e.Size()
		h.copy = func(dst, src unsafe.Pointer) {
			from := reflect.NewAt(t, src).Elem()
			if from.IsNil() {
				reflect.NewAt(t, dst).Elem().SetZero()
				return
			}
			n := from.Len()
			to := reflect.MakeSlice(t, n, n)
			for i := range n {
				elem.copy(unsafe.Add(to.UnsafePointer(), uintptr(i)*step), unsafe.Add(from.UnsafePointer(), uintptr(i)*step))
			}
			reflect.NewAt(t, dst).Elem().Set(to)
		}
		h.key = func(b []byte, p unsafe.Pointer) []byte {
			from := reflect.NewAt(t, p).Elem()
			n := from.Len()
			b = binary.AppendUvarint(b, uint64(n))
			for i := range n {
				b = elem.key(b, unsafe.Add(from.UnsafePointer(), uintptr(i)*step))
			}
			return b
		}
	case reflect.Map:
		buildMap(t, h)
	case reflect.Struct:
		type part struct {
			at uintptr
			h  *handler
			no bool
		}
		var parts []part
		for i := range t.NumField() {
			f := t.Field(i)
			p := part{f.Offset, build(f.Type), skipped[t.Name()+"."+f.Name]}
			if p.no && f.Name != "seq" {
				p.h = &handler{copy: func(dst, src unsafe.Pointer) {
					reflect.NewAt(f.Type, dst).Elem().Set(reflect.NewAt(f.Type, src).Elem())
				}}
			}
			parts = append(parts, p)
		}
		h.copy = func(dst, src unsafe.Pointer) {
			for _, p := range parts {
				p.h.copy(unsafe.Add(dst, p.at), unsafe.Add(src, p.at))
			}
		}
		h.key = func(b []byte, p unsafe.Pointer) []byte {
			for _, f := range parts {
				if !f.no {
					b = f.h.key(b, unsafe.Add(p, f.at))
				}
			}
			return b
		}
	default:
		panic(fmt.Sprintf("a Replica has a %v", t))
	}
	return h
}

// fastMaps are the maps of a Replica that are met most.
var fastMaps map[reflect.Type]func(h, elem *handler)

func init() {
	fastMaps = map[reflect.Type]func(h, elem *handler){}
	fast[BallotNumber]()
	fast[Version]()
	fast[bool]()
	fast[*peer]()
	fast[*register]()
	fast[map[string]BallotNumber]()
}

func fast[V any]() {
	fastMaps[reflect.TypeFor[map[string]V]()] = func(h, elem *handler) {
		h.copy = func(dst, src unsafe.Pointer) {
			from := *(*map[string]V)(src)
			if from == nil {
				*(*map[string]V)(dst) = nil
				return
			}
			to := make(map[string]V, len(from))
			for k, v := range from {
				var c V
				elem.copy(unsafe.Pointer(&c), unsafe.Pointer(&v))
				to[k] = c
			}
			*(*map[string]V)(dst) = to
		}
		h.key = func(b []byte, p unsafe.Pointer) []byte {
			from := *(*map[string]V)(p)
			var room [8]string
			names := room[:0]
			for k := range from {
				names = append(names, k)
			}
			slices.Sort(names)
			b = binary.AppendUvarint(b, uint64(len(names)))
			for _, k := range names {
				v := from[k]
				b = elem.key(append(binary.AppendUvarint(b, uint64(len(k))), k...), unsafe.Pointer(&v))
			}
			return b
		}
	}
}

func buildMap(t reflect.Type, h *handler) {
	e, elem := t.Elem(), build(t.Elem())
	k, keys := t.Key(), build(t.Key())
	if fast := fastMaps[t]; fast != nil {
		fast(h, elem)
		return
	}
	numbered := k.Kind() == reflect.Uint64 // of puts: their order tells them apart
	h.copy = func(dst, src unsafe.Pointer) {
		from, to := reflect.NewAt(t, src).Elem(), reflect.NewAt(t, dst).Elem()
		if from.IsNil() {
			to.SetZero()
			return
		}
		to.Set(reflect.MakeMapWithSize(t, from.Len()))
		key, was := reflect.New(k).Elem(), reflect.New(e)
		for it := from.MapRange(); it.Next(); {
			key.SetIterKey(it)
			was.Elem().SetIterValue(it)
			v := reflect.New(e)
			elem.copy(v.UnsafePointer(), was.UnsafePointer())
			to.SetMapIndex(key, v.Elem())
		}
	}
	h.key = func(b []byte, p unsafe.Pointer) []byte {
		from := reflect.NewAt(t, p).Elem()
		type entry struct {
			key  []byte
			rest []byte
			n    uint64
		}
		var all []entry
		key, was := reflect.New(k), reflect.New(e)
		for it := from.MapRange(); it.Next(); {
			key.Elem().SetIterKey(it)
			was.Elem().SetIterValue(it)
			en := entry{rest: elem.key(nil, was.UnsafePointer())}
			if numbered {
				en.n = key.Elem().Uint()
			} else {
				en.key = keys.key(nil, key.UnsafePointer())
			}
			all = append(all, en)
		}
		slices.SortFunc(all, func(a, b entry) int {
			if numbered {
				return int(int64(a.n - b.n))
			}
			return slices.Compare(a.key, b.key)
		})
		b = binary.AppendUvarint(b, uint64(len(all)))
		for _, en := range all {
			b = append(append(b, en.key...), en.rest...)
		}
		return b
	}
}

var replicaHandler = sync.OnceValue(func() *handler { return handlerOf(reflect.TypeFor[Replica]()) })

func (r *Replica) clone() *Replica {
	c := new(Replica)
	replicaHandler().copy(unsafe.Pointer(c), unsafe.Pointer(r))
	c.actions = nil
	return c
}

func (r *Replica) key(b []byte) []byte { return replicaHandler().key(b, unsafe.Pointer(r)) }
