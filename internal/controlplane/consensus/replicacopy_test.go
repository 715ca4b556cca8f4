package consensus

import (
	"encoding/binary"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"unsafe"
)

// The model checker copies and compares Replicas by reflection, so that no field can be forgotten.

// typeHandler copies values of one type, and appends a key that identifies a value.
type typeHandler struct {
	copy      func(dst, src unsafe.Pointer)
	appendKey func(b []byte, p unsafe.Pointer) []byte
}

var (
	handlers   = map[reflect.Type]*typeHandler{}
	handlersMu sync.Mutex
)

// excludedFields are constant, or do not affect later steps. They are copied by assignment, and not part of the key.
var excludedFields = map[string]bool{
	"Replica.options":  true,
	"Replica.actions":  true,
	"Replica.writeSeq": true,
	"request.change":   true,
}

func handlerFor(t reflect.Type) *typeHandler {
	handlersMu.Lock()
	defer handlersMu.Unlock()
	return buildHandler(t)
}

func memoryOf(p unsafe.Pointer, size uintptr) []byte { return unsafe.Slice((*byte)(p), size) }

// buildHandler returns the handler of a type. It stores the handler before it is complete, because types may be
// recursive.
func buildHandler(t reflect.Type) *typeHandler {
	if handler := handlers[t]; handler != nil {
		return handler
	}
	handler := &typeHandler{}
	handlers[t] = handler
	size := t.Size()
	handler.copy = func(dst, src unsafe.Pointer) { copy(memoryOf(dst, size), memoryOf(src, size)) }
	switch t.Kind() {
	case reflect.Bool, reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64, reflect.Uint, reflect.Uint8,
		reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Float64:
		handler.appendKey = func(b []byte, p unsafe.Pointer) []byte { return append(b, memoryOf(p, size)...) }
	case reflect.String:
		handler.copy = func(dst, src unsafe.Pointer) { *(*string)(dst) = *(*string)(src) }
		handler.appendKey = func(b []byte, p unsafe.Pointer) []byte {
			s := *(*string)(p)
			return append(binary.AppendUvarint(b, uint64(len(s))), s...)
		}
	case reflect.Func, reflect.Interface:
		handler.copy = shallowCopy(t)
		handler.appendKey = func(b []byte, _ unsafe.Pointer) []byte { return b }
	case reflect.Pointer:
		buildPointer(t, handler)
	case reflect.Slice:
		buildSlice(t, handler)
	case reflect.Map:
		buildMap(t, handler)
	case reflect.Struct:
		buildStruct(t, handler)
	default:
		panic(fmt.Sprintf("unsupported type %v in a Replica", t))
	}
	return handler
}

func shallowCopy(t reflect.Type) func(dst, src unsafe.Pointer) {
	return func(dst, src unsafe.Pointer) { reflect.NewAt(t, dst).Elem().Set(reflect.NewAt(t, src).Elem()) }
}

func buildPointer(t reflect.Type, handler *typeHandler) {
	elemType, elem := t.Elem(), buildHandler(t.Elem())
	handler.copy = func(dst, src unsafe.Pointer) {
		if from := *(*unsafe.Pointer)(src); from != nil {
			to := reflect.New(elemType).UnsafePointer()
			elem.copy(to, from)
			*(*unsafe.Pointer)(dst) = to
		} else {
			*(*unsafe.Pointer)(dst) = nil
		}
	}
	handler.appendKey = func(b []byte, p unsafe.Pointer) []byte {
		if at := *(*unsafe.Pointer)(p); at != nil {
			return elem.appendKey(append(b, 1), at)
		}
		return append(b, 0)
	}
}

func buildSlice(t reflect.Type, handler *typeHandler) {
	elemType, elem := t.Elem(), buildHandler(t.Elem())
	step := elemType.Size()
	handler.copy = func(dst, src unsafe.Pointer) {
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
	handler.appendKey = func(b []byte, p unsafe.Pointer) []byte {
		from := reflect.NewAt(t, p).Elem()
		n := from.Len()
		b = binary.AppendUvarint(b, uint64(n))
		for i := range n {
			b = elem.appendKey(b, unsafe.Add(from.UnsafePointer(), uintptr(i)*step))
		}
		return b
	}
}

func buildStruct(t reflect.Type, handler *typeHandler) {
	type field struct {
		offset     uintptr
		handler    *typeHandler
		isExcluded bool
	}
	var fields []field
	for i := range t.NumField() {
		f := t.Field(i)
		isExcluded := excludedFields[t.Name()+"."+f.Name]
		fieldHandler := buildHandler(f.Type)
		if isExcluded {
			fieldHandler = &typeHandler{copy: shallowCopy(f.Type)}
		}
		fields = append(fields, field{f.Offset, fieldHandler, isExcluded})
	}
	handler.copy = func(dst, src unsafe.Pointer) {
		for _, f := range fields {
			f.handler.copy(unsafe.Add(dst, f.offset), unsafe.Add(src, f.offset))
		}
	}
	handler.appendKey = func(b []byte, p unsafe.Pointer) []byte {
		for _, f := range fields {
			if !f.isExcluded {
				b = f.handler.appendKey(b, unsafe.Add(p, f.offset))
			}
		}
		return b
	}
}

// mapHandlers set up the handlers of the most common map types without reflection.
var mapHandlers map[reflect.Type]func(handler, elem *typeHandler)

func init() {
	mapHandlers = map[reflect.Type]func(handler, elem *typeHandler){}
	registerMapHandler[BallotNumber]()
	registerMapHandler[Version]()
	registerMapHandler[bool]()
	registerMapHandler[*peer]()
	registerMapHandler[*register]()
	registerMapHandler[map[string]BallotNumber]()
}

// registerMapHandler adds the handler of maps from strings to V.
func registerMapHandler[V any]() {
	mapHandlers[reflect.TypeFor[map[string]V]()] = func(handler, elem *typeHandler) {
		handler.copy = func(dst, src unsafe.Pointer) {
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
		handler.appendKey = func(b []byte, p unsafe.Pointer) []byte {
			from := *(*map[string]V)(p)
			var buffer [8]string // avoids allocations
			names := buffer[:0]
			for k := range from {
				names = append(names, k)
			}
			slices.Sort(names)
			b = binary.AppendUvarint(b, uint64(len(names)))
			for _, k := range names {
				v := from[k]
				b = elem.appendKey(append(binary.AppendUvarint(b, uint64(len(k))), k...), unsafe.Pointer(&v))
			}
			return b
		}
	}
}

func buildMap(t reflect.Type, handler *typeHandler) {
	elemType, elem := t.Elem(), buildHandler(t.Elem())
	keyType, keyHandler := t.Key(), buildHandler(t.Key())
	if setUp := mapHandlers[t]; setUp != nil {
		setUp(handler, elem)
		return
	}
	isNumbered := keyType.Kind() == reflect.Uint64 // sequence numbers, of which only the order matters
	handler.copy = func(dst, src unsafe.Pointer) {
		from, to := reflect.NewAt(t, src).Elem(), reflect.NewAt(t, dst).Elem()
		if from.IsNil() {
			to.SetZero()
			return
		}
		to.Set(reflect.MakeMapWithSize(t, from.Len()))
		key, value := reflect.New(keyType).Elem(), reflect.New(elemType)
		for it := from.MapRange(); it.Next(); {
			key.SetIterKey(it)
			value.Elem().SetIterValue(it)
			valueCopy := reflect.New(elemType)
			elem.copy(valueCopy.UnsafePointer(), value.UnsafePointer())
			to.SetMapIndex(key, valueCopy.Elem())
		}
	}
	handler.appendKey = func(b []byte, p unsafe.Pointer) []byte {
		from := reflect.NewAt(t, p).Elem()
		type entry struct {
			key    []byte // empty if numbered
			number uint64
			value  []byte
		}
		var all []entry
		key, value := reflect.New(keyType), reflect.New(elemType)
		for it := from.MapRange(); it.Next(); {
			key.Elem().SetIterKey(it)
			value.Elem().SetIterValue(it)
			en := entry{value: elem.appendKey(nil, value.UnsafePointer())}
			if isNumbered {
				en.number = key.Elem().Uint()
			} else {
				en.key = keyHandler.appendKey(nil, key.UnsafePointer())
			}
			all = append(all, en)
		}
		slices.SortFunc(all, func(a, b entry) int {
			if isNumbered {
				return int(int64(a.number - b.number))
			}
			return slices.Compare(a.key, b.key)
		})
		b = binary.AppendUvarint(b, uint64(len(all)))
		for _, en := range all {
			b = append(append(b, en.key...), en.value...)
		}
		return b
	}
}

var replicaHandler = sync.OnceValue(func() *typeHandler { return handlerFor(reflect.TypeFor[Replica]()) })

// clone returns a deep copy of the Replica between two steps.
func (r *Replica) clone() *Replica {
	c := new(Replica)
	replicaHandler().copy(unsafe.Pointer(c), unsafe.Pointer(r))
	c.actions = nil
	return c
}

// key appends a key to b. Replicas with equal keys behave equally.
func (r *Replica) key(b []byte) []byte { return replicaHandler().appendKey(b, unsafe.Pointer(r)) }
