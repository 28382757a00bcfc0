// Calls of the metadata store.
#include "store.h"

#include <boost/json.hpp>

namespace review {

namespace {

namespace json = boost::json;

constexpr int partitions = 24;
constexpr auto answerTime = std::chrono::milliseconds(4);

std::string bigEndian(std::uint64_t value, int size)
{
    std::string text;
    for (int shift = 8 * (size - 1); shift >= 0; shift -= 8)
        text.push_back(static_cast<char>(value >> shift & 0xff));
    return text;
}

std::uint64_t fromBigEndian(const std::string &text)
{
    std::uint64_t value = 0;
    for (const char byte : text)
        value = value << 8 | static_cast<unsigned char>(byte);
    return value;
}

std::string base64(const std::string &text)
{
    static constexpr char digits[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t index = 0; index < text.size(); index += 3) {
        std::uint32_t bits = 0;
        const std::size_t count = std::min<std::size_t>(3, text.size() - index);
        for (std::size_t offset = 0; offset < 3; ++offset)
            bits = bits << 8
                    | (offset < count ? static_cast<unsigned char>(text[index + offset]) : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            encoded.push_back(digit <= count ? digits[bits >> (18 - 6 * digit) & 63] : '=');
    }
    return encoded;
}

std::string jsonResponse(int status, const json::value &body)
{
    return formatResponse(status, {{"Content-Type", "application/json"}}, json::serialize(body));
}

std::uint64_t number(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::stoull(found->second);
}

std::string parameter(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? "" : found->second;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string part = target.substr(begin + 1, end - begin - 1);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            query[part.substr(0, equals)] = part.substr(equals + 1);
        begin = end;
    }
    return query;
}

} // namespace

Store::Store(const Address &address)
    : server(address,
             [this](const std::shared_ptr<Connection> &connection) { this->serve(connection); })
{ }

void Store::write(const std::string &topic, const std::string &key,
                  const std::optional<std::string> &value)
{
    std::lock_guard lock(this->mutex);
    this->logs[{topic, 0}].push_back(bigEndian(key.size(), 1) + key + value.value_or(""));
    this->changed.notify_all();
}

void Store::serve(const std::shared_ptr<Connection> &connection)
{
    Message request;
    bool isLost = false; // The response to an earlier call.
    while (connection->read(request)) {
        isLost = isLost || this->isSilent;
        if (isLost)
            continue;
        std::this_thread::sleep_for(answerTime);
        const std::string response = this->respond(request);
        isLost = this->isSilent;
        if (!isLost && !connection->write(response))
            return;
    }
}

std::string Store::respond(const Message &request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    const Query query = parseQuery(request.target);
    if (path == "/log-append")
        return this->append(query, request.body);
    if (path == "/log-read")
        return this->read(query);
    if (path == "/log-newest")
        return this->newest(query);
    if (path == "/log-join")
        return this->join(request.body);
    if (path == "/log-leave")
        return this->leave(request.body);
    if (path == "/log-owners")
        return this->owners(query);
    return jsonResponse(404, json::object());
}

std::string Store::append(const Query &query, const std::string &body)
{
    const std::string topic = parameter(query, "topic");
    std::lock_guard lock(this->mutex);
    auto &log = this->logs[{topic, static_cast<int>(number(query, "part"))}];
    const std::uint64_t offset = log.size();
    if (topic == "keyed.op" || topic == "keyed.servers")
        return jsonResponse(403, json::object());
    if (query.contains("asOf") && number(query, "asOf") != offset)
        return jsonResponse(412, json::object{{"end", offset}});
    for (std::size_t begin = 0; begin + 4 <= body.size();) {
        const std::size_t size = fromBigEndian(body.substr(begin, 4));
        log.push_back(body.substr(begin + 4, size));
        begin += 4 + size;
    }
    this->changed.notify_all();
    return jsonResponse(200, json::object{{"offset", offset}, {"end", log.size()}});
}

std::string Store::read(const Query &query)
{
    const std::pair partition{parameter(query, "topic"), static_cast<int>(number(query, "part"))};
    const std::size_t from = number(query, "from");
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, std::chrono::milliseconds(number(query, "waitMs")),
                           [&] { return this->logs[partition].size() > from; });
    const auto &log = this->logs[partition];
    std::string body = bigEndian(log.size(), 8) + bigEndian(0, 8);
    for (std::size_t index = from; index < log.size(); ++index)
        body += bigEndian(log[index].size(), 4) + log[index];
    return formatResponse(200, {}, body);
}

std::string Store::newest(const Query &query)
{
    std::lock_guard lock(this->mutex);
    const auto &log =
            this->logs[{parameter(query, "topic"), static_cast<int>(number(query, "part"))}];
    std::map<std::string, std::size_t> last;
    for (std::size_t index = 0; index < log.size(); ++index) {
        const std::size_t keySize = static_cast<unsigned char>(log[index].front());
        const std::string key = log[index].substr(1, keySize);
        if (log[index].size() > 1 + keySize)
            last[key] = index;
        else
            last.erase(key);
    }
    json::array items;
    for (const auto &[key, index] : last)
        items.push_back(json::object{{"key", key},
                                     {"value", base64(log[index].substr(1 + key.size()))},
                                     {"offset", index}});
    return jsonResponse(
            200,
            json::object{{"items", std::move(items)}, {"hasMore", false}, {"end", log.size()}});
}

void Store::expireMembers(Group &group)
{
    const auto now = Clock::now();
    if (std::erase_if(group.expiry, [now](const auto &entry) { return entry.second <= now; }) > 0)
        ++group.generation;
}

std::string Store::join(const std::string &body)
{
    const json::object call = json::parse(body).as_object();
    const std::string member(call.at("member").as_string());
    std::lock_guard lock(this->mutex);
    Group &group = this->groups[std::string(call.at("group").as_string())];
    expireMembers(group);
    group.topics.clear();
    for (const json::value &topic : call.at("topics").as_array())
        group.topics.emplace_back(topic.as_string());
    const auto life = std::chrono::milliseconds(call.at("ttlMs").to_number<int>());
    if (!group.expiry.contains(member))
        ++group.generation;
    group.expiry[member] = Clock::now() + life;
    const auto position = std::distance(group.expiry.begin(), group.expiry.find(member));
    json::array rows;
    std::size_t index = 0;
    for (const std::string &topic : group.topics) {
        for (int part = 0; part < partitions; ++part) {
            if (index++ % group.expiry.size() == static_cast<std::size_t>(position))
                rows.push_back(json::array{topic, part, 0});
        }
    }
    return jsonResponse(200,
                        json::object{{"generation", group.generation},
                                     {"ttlMs", life.count()},
                                     {"parts", std::move(rows)}});
}

std::string Store::leave(const std::string &body)
{
    const json::object call = json::parse(body).as_object();
    std::lock_guard lock(this->mutex);
    Group &group = this->groups[std::string(call.at("group").as_string())];
    if (group.expiry.erase(std::string(call.at("member").as_string())) > 0)
        ++group.generation;
    return jsonResponse(200, json::object());
}

std::string Store::owners(const Query &query)
{
    std::lock_guard lock(this->mutex);
    Group &group = this->groups[parameter(query, "group")];
    expireMembers(group);
    std::vector<std::string> members;
    for (const auto &[name, until] : group.expiry)
        members.push_back(name);
    json::array rows;
    std::size_t index = 0;
    for (const std::string &topic : group.topics) {
        for (int part = 0; part < partitions && !members.empty(); ++part)
            rows.push_back(json::array{topic, part, members[index++ % members.size()], 0});
    }
    return jsonResponse(200, rows);
}

} // namespace review
