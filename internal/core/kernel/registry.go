package kernel

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"zinniapond.example/zinniapond/internal/core/shard"
)

// pluginKey identifies an implementation by its interface and name.
type pluginKey struct {
	iface reflect.Type
	name  string
}

type builder func(*Kernel) (any, error)

// registry holds the builders of all implementations. The init functions of the
// plug-ins fill it; afterwards it is only read.
var registry shard.Map[pluginKey, builder]

func keyOf[T any](name string) pluginKey {
	return pluginKey{iface: reflect.TypeFor[T](), name: name}
}

// Register adds an implementation of interface T under the given name. It is
// called from init functions. A second registration of the same name is a
// programming error and panics, as in database/sql.
func Register[T any](name string, build func(*Kernel) (T, error)) {
	key := keyOf[T](name)
	if _, ok := registry.Get(key); ok {
		panic(fmt.Sprintf("kernel: %s %q registered twice", key.iface, name))
	}
	registry.Set(key, func(k *Kernel) (any, error) { return build(k) })
}

// Names returns the names of the registered implementations of T, sorted.
func Names[T any]() []string {
	iface := reflect.TypeFor[T]()
	var names []string
	registry.Each(func(key pluginKey, _ builder) bool {
		if key.iface == iface {
			names = append(names, key.name)
		}
		return true
	})
	sort.Strings(names)
	return names
}

// settingKey returns the key of interface T in the section [plugins] of the
// settings.
func settingKey[T any]() string {
	return strings.ToLower(reflect.TypeFor[T]().Name())
}

func findBuilder[T any](name string) (builder, error) {
	build, ok := registry.Get(keyOf[T](name))
	if !ok {
		return nil, fmt.Errorf("find plug-in: no %s named %q; have %s",
			settingKey[T](), name, strings.Join(Names[T](), ", "))
	}
	return build, nil
}
