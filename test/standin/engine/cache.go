package engine

import "container/list"

// prefixCache remembers the chats whose prefix an engine still holds.
type prefixCache struct {
	size  int
	order *list.List
	chats map[string]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), chats: make(map[string]*list.Element)}
}

// use tells whether the chat's prefix was there, and keeps it as the newest.
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
