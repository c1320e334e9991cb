package gateway

import (
	"flag"
	"hash/fnv"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/ownership"
)

// record names the version as which this build records its messages, for builds to come.
var record = flag.String("record", "", "record the messages of this build as those of the `version`")

// sampleMessages returns the messages between VMs and the rows in the store, with all fields
// set. A field has the same value in all versions.
func sampleMessages() map[string]any {
	samples := map[string]any{
		"hello": &hello{}, "report": &report{}, "update": &update{}, "lease": &lease{},
		"owners": &[]ownership.Entry{}, "proxy": &proxyFrame{},
	}
	for name, sample := range samples {
		fill(reflect.ValueOf(sample).Elem(), name)
	}
	return samples
}

// fill sets a value and all that it contains. Values follow from the name of a field as encoded.
func fill(v reflect.Value, name string) {
	hash := fnv.New32a()
	hash.Write([]byte(name)) // never fails
	number := int64(hash.Sum32()%50) + 1
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(number)
	case reflect.Uint64, reflect.Uint8:
		v.SetUint(uint64(number))
	case reflect.Float64:
		v.SetFloat(float64(number) / 4)
	case reflect.String:
		v.SetString(name)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), name)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), name)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, name)
		fill(value, name)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for _, field := range reflect.VisibleFields(v.Type()) {
			tag, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
			if field.IsExported() && !field.Anonymous {
				fill(v.FieldByIndex(field.Index), name+"/"+tag+field.Tag.Get("json"))
			}
		}
	default:
		panic("a message has a field of kind " + v.Kind().String())
	}
}

// requireContains checks that a decoded message has all that another one has.
func requireContains(t *testing.T, message, part any, path string) {
	switch part := part.(type) {
	case map[any]any:
		whole, ok := message.(map[any]any)
		require.True(t, ok, path)
		for key, value := range part {
			require.Contains(t, slices.Collect(maps.Keys(whole)), key, path)
			requireContains(t, whole[key], value, path+"/"+reflect.ValueOf(key).String())
		}
	case []any:
		whole, ok := message.([]any)
		require.True(t, ok, path)
		require.Len(t, whole, len(part), path)
		for i := range part {
			requireContains(t, whole[i], part[i], path)
		}
	default:
		require.Equal(t, part, message, path)
	}
}

// TestEarlierVersions guards against a message or row of this build that earlier ones read
// wrong, and against one of theirs that this build reads wrong: both run side by side while VMs
// are upgraded or rolled back.
func TestEarlierVersions(t *testing.T) {
	const dir = "testdata/versions"
	if *record != "" {
		require.NoError(t, os.MkdirAll(filepath.Join(dir, *record), 0o700))
		for name, sample := range sampleMessages() {
			data, err := cbor.Marshal(sample)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(filepath.Join(dir, *record, name+".cbor"), data, 0o600))
		}
	}
	versions, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.NotEmpty(t, versions)
	decode := func(data []byte) (message any) {
		require.NoError(t, cbor.Unmarshal(data, &message))
		return message
	}
	for _, version := range versions {
		for name, sample := range sampleMessages() {
			recorded, err := os.ReadFile(filepath.Join(dir, version.Name(), name+".cbor"))
			if os.IsNotExist(err) {
				continue // the version has no such message
			}
			require.NoError(t, err)
			path := version.Name() + " " + name
			sent, err := cbor.Marshal(sample)
			require.NoError(t, err)
			requireContains(t, decode(sent), decode(recorded), path+" as sent by this build")
			read := reflect.New(reflect.TypeOf(sample).Elem()).Interface()
			require.NoError(t, cbor.Unmarshal(recorded, read), path)
			kept, err := cbor.Marshal(read)
			require.NoError(t, err)
			requireContains(t, decode(kept), decode(recorded), path+" as read by this build")
		}
	}
}

// TestFieldNumbersAreUnique guards against two fields of a message with one number, which the
// encoder leaves out both, and against the use of a number that earlier versions take otherwise.
func TestFieldNumbersAreUnique(t *testing.T) {
	reserved := map[reflect.Type]string{reflect.TypeFor[update](): "21"}
	for _, message := range []reflect.Type{reflect.TypeFor[update](), reflect.TypeFor[report](), reflect.TypeFor[hello](), reflect.TypeFor[handover](), reflect.TypeFor[lease]()} {
		used := map[string]string{reserved[message]: "(reserved)"}
		for i := range message.NumField() {
			field := message.Field(i)
			number, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
			if number == "" || number == "-" {
				continue
			}
			require.Empty(t, used[number], "%s.%s has the number %s", message, field.Name, number)
			used[number] = field.Name
		}
	}
}
