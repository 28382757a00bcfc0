// Stand-in for the platform's metadata store: topics, conditional appends, newest records, groups.
#pragma once

#include "http.h"

#include <chrono>
#include <condition_variable>

namespace review {

class Store
{
public:
    explicit Store(const Address &address);

    /// Writes a record as the operator or an upstream does; without a value, the key is dropped.
    /// Returns when the store has accepted it.
    void write(const std::string &topic, const std::string &key,
               const std::optional<std::string> &value);

    /// While set, no call gets a response. Connections with a call then stay silent for good.
    std::atomic<bool> isSilent{false};

private:
    using Clock = std::chrono::steady_clock;
    using Query = std::map<std::string, std::string>;

    struct Group
    {
        std::uint64_t generation = 0;
        std::map<std::string, Clock::time_point> expiry; ///< By member.
        std::vector<std::string> topics;
    };

    void serve(const std::shared_ptr<Connection> &connection);
    std::string respond(const Message &request);
    std::string append(const Query &query, const std::string &body);
    std::string read(const Query &query);
    std::string newest(const Query &query);
    std::string join(const std::string &body);
    std::string leave(const std::string &body);
    std::string owners(const Query &query);
    static void expireMembers(Group &group);

    std::mutex mutex;
    std::condition_variable changed;
    /// Contents of the records, by topic and partition.
    std::map<std::pair<std::string, int>, std::vector<std::string>> logs;
    std::map<std::string, Group> groups;
    Server server; // Destroyed first.
};

} // namespace review
