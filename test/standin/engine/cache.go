package engine

import "container/list"

// prefixCache is an LRU cache of the chats whose prefix an engine holds.
type prefixCache struct {
	size  int
	order *list.List
	chats map[string]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), chats: make(map[string]*list.Element)}
}

// use marks the chat's prefix as the most recently used, adding it if needed, and reports whether
// it was cached.
func (c *prefixCache) use(chat string) bool {
	if e, ok := c.chats[chat]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.chats[chat] = c.order.PushFront(chat)
	if c.order.Len() > c.size {
		oldest := c.order.Remove(c.order.Back()).(string)
		delete(c.chats, oldest)
	}
	return false
}
