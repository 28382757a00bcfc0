// An upstream that runs a request only while it holds the request's key.
#pragma once

#include "world.h"

namespace review {

using Key = int;
inline constexpr Key keyCount = 65536;

class KeyedUpstream : public Upstream
{
public:
    KeyedUpstream(UpstreamIdentity identity, const Address &address, Record &record, Store &store);

    /// The first key that it holds now.
    std::optional<Key> firstHeldKey();

    /// For the next grant of this key on a connection in use: sends, where the answer is expected,
    /// one more copy of the answer to the grant before, leaves the grant itself without an answer
    /// and applies it late. The time of the grant counts from its arrival. -1: no key.
    std::atomic<Key> faultyKey{-1};

    /// One span in which it held a key, under one token.
    struct Hold
    {
        std::uint64_t fence = 0;
        Milliseconds begin{};
        Milliseconds end{};
    };

    std::vector<Hold> holdsOf(Key key);
    std::vector<Milliseconds> begunOn(Key key);

protected:
    Milliseconds workOf(const Message &) override { return Milliseconds(10); }
    void serve(const std::shared_ptr<Connection> &connection) override;

private:
    struct Grant
    {
        Key first = 0;
        Key last = 0;
        std::uint64_t fence = 0;
        Milliseconds hold{};
    };

    static Grant parse(const std::string &body);
    std::string serveGrant(const std::string &body, const std::string &previous);
    bool apply(const Grant &grant, Milliseconds arrival);
    std::string release(const std::string &body);
    std::string runKeyed(const Message &request);

    std::vector<std::uint64_t> fences;  ///< Highest token seen, by key.
    std::vector<Milliseconds> holdEnds; ///< By key.
    std::vector<int> runningOn;         ///< Requests at work, by key.
    std::map<Key, std::vector<Hold>> holds;
    std::map<Key, std::vector<Milliseconds>> begun;
};

/// What two upstreams did with one key.
struct OwnershipFindings
{
    Milliseconds sharedTime{};
    int begunAtFirst = 0;
    int begunAtSecond = 0;
    bool begunByBoth = false; ///< In one span in which both held the key.
    int lowerTokens = 0;
};

OwnershipFindings compareHolds(Key key, KeyedUpstream &first, KeyedUpstream &second);

/// A configuration with one service that is divided by key.
std::string keyedConfigurationText(const std::string &service, int timeoutMs);

} // namespace review
