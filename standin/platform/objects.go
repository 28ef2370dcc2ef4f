package platform

import (
	"context"
	"sync"

	"greengagespoke/ports"
)

// objectStore keeps the objects.
type objectStore struct {
	mu      sync.RWMutex
	objects map[string][]byte
}

func newObjectStore() *objectStore {
	return &objectStore{objects: make(map[string][]byte)}
}

// objectService implements ports.ObjectStore.
type objectService struct{ p *Platform }

// Put implements ports.ObjectStore.
func (o objectService) Put(ctx context.Context, key string, value []byte) error {
	if err := o.p.admit(true); err != nil {
		return err
	}
	fault := o.p.faults.nextWrite(ports.Txn{Then: []ports.Write{{Key: key, Value: value}}})
	switch fault {
	case FaultDown:
		return ports.ErrStoreDown
	case FaultLoseRequest:
		return o.p.loseAnswer(ctx)
	}
	store := o.p.objects
	store.mu.Lock()
	store.objects[key] = append([]byte(nil), value...)
	store.mu.Unlock()
	if fault == FaultLoseAnswer {
		return o.p.loseAnswer(ctx)
	}
	return wait(ctx, o.p.faults.delay(), ports.ErrStoreUnknown)
}

// Get implements ports.ObjectStore.
func (o objectService) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.p.admit(false); err != nil {
		return nil, err
	}
	if err := wait(ctx, o.p.faults.delay(), ports.ErrStoreDown); err != nil {
		return nil, err
	}
	store := o.p.objects
	store.mu.RLock()
	defer store.mu.RUnlock()
	value, ok := store.objects[key]
	if !ok {
		return nil, ports.ErrNoObject
	}
	return append([]byte(nil), value...), nil
}
