package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

// Some parts of prompts end each backend server that begins to answer them. No two requests that hold one are alike.
const (
	// badPartPrefix begins the bad parts.
	badPartPrefix = "bad-"
	// maxPartEnds is the number of servers that may end under a part before it must not be sent on, from poisonContact
	// later and but for poisonSlack requests.
	maxPartEnds = 5
	// firstPartCount and secondPartCount are the numbers of parts that the prompts of sound requests begin with.
	firstPartCount, secondPartCount = 4, 12
	// minSharing is the number of sound requests that share their first part with a bad one from which their share is
	// checked, and minSharingShare the least share of them that begins, as a part of that of the others.
	minSharing, minSharingShare = 20, 0.5
)

// soundPrompt returns the parts of the prompt of a sound request.
func soundPrompt(random *rand.Rand, id string) []string {
	return []string{firstPart(random), fmt.Sprint("second-", random.IntN(secondPartCount)), id}
}

func firstPart(random *rand.Rand) string { return fmt.Sprint("first-", random.IntN(firstPartCount)) }

// badPart returns the part of a prompt that ends servers, "" if there is none. The last part is never one.
func badPart(parts []string) string {
	for _, part := range parts[:max(0, len(parts)-1)] {
		if strings.HasPrefix(part, badPartPrefix) {
			return part
		}
	}
	return ""
}

// repeatBadPart sends requests with a bad part, each with a content of its own and to a random instance.
func (w *World) repeatBadPart(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, poisonDuration)
	defer cancel()
	random := rand.New(rand.NewPCG(w.options.Seed, uint64(3000+number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	first := firstPart(random)
	w.streams.setTroubled(first)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("b%d-%d", number, n)
		i := w.chooseInstance(random)
		w.sendPoison(ctx, client, i, fakeplatform.Call{
			Path: "/" + kindStream + "/" + id, ID: id, Parts: []string{first, fmt.Sprint(badPartPrefix, number), id},
		})
		select {
		case <-ctx.Done():
		case <-time.After(randomDuration(random, 50*time.Millisecond, 400*time.Millisecond)):
		}
	}
	w.streams.setTroubled("")
}

// checkSharing checks that sound requests that share their first part with bad ones begin about as often as others.
func (w *World) checkSharing() {
	s := &w.streams
	if s.sharing.sent >= minSharing && s.sharing.share() < minSharingShare*s.others.share() {
		w.recorder.recordViolation("a sound request is served beside a bad one", "all",
			fmt.Sprintf("%d of %d, of others %d of %d", s.sharing.served, s.sharing.sent, s.others.served, s.others.sent))
	}
	w.recorder.add("sharing a first part", s.sharing.sent)
}
