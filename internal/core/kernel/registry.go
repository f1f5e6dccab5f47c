package kernel

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"zinniapond.example/zinniapond/internal/core/shard"
)

// kind identifies an interface of the root package.
type kind struct {
	of   reflect.Type
	name string
}

type builder func(*Kernel) (any, error)

// registry has the builders of all implementations. It is filled by the init
// functions of the plug-ins and only read afterwards.
var registry shard.Map[kind, builder]

func kindOf[T any](name string) kind {
	return kind{of: reflect.TypeFor[T](), name: name}
}

// Register adds an implementation of interface T under the given name. It is
// called from init functions; a second registration of one name is a
// programming error and panics, as database/sql does.
func Register[T any](name string, build func(*Kernel) (T, error)) {
	key := kindOf[T](name)
	if _, ok := registry.Get(key); ok {
		panic(fmt.Sprintf("kernel: %s %q registered twice", key.of, name))
	}
	registry.Set(key, func(k *Kernel) (any, error) { return build(k) })
}

// Names returns the names of the registered implementations of T, sorted.
func Names[T any]() []string {
	of := reflect.TypeFor[T]()
	var names []string
	registry.Each(func(key kind, _ builder) bool {
		if key.of == of {
			names = append(names, key.name)
		}
		return true
	})
	sort.Strings(names)
	return names
}

// settingName is the key of interface T in the plug-in settings.
func settingName[T any]() string {
	return strings.ToLower(reflect.TypeFor[T]().Name())
}

func lookup[T any](name string) (builder, error) {
	build, ok := registry.Get(kindOf[T](name))
	if !ok {
		return nil, fmt.Errorf("find plug-in: no %s named %q; have %s",
			settingName[T](), name, strings.Join(Names[T](), ", "))
	}
	return build, nil
}
