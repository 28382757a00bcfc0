// Keyed hash table of the keys.
#include "amaranthdale/organisations/key_index.h"

#include "amaranthdale/core/hash.h"

namespace amaranthdale::organisations {

namespace {

// Takes the same time wherever the keys differ. Their lengths are not secret.
bool equalsInConstantTime(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
        return false;
    unsigned difference = 0;
    for (std::size_t index = 0; index < a.size(); ++index)
        difference |= static_cast<unsigned char>(a[index]) ^ static_cast<unsigned char>(b[index]);
    return difference == 0;
}

} // namespace

KeyIndex::KeyIndex(std::shared_ptr<const catalog::RouteTable> configuration, std::uint64_t seed)
    : table(std::move(configuration)), hashSeed(seed)
{
    if (!this->table->organisations())
        return;
    const auto &organisations = *this->table->organisations();
    std::size_t keyCount = 0;
    for (const catalog::Organisation &organisation : organisations)
        keyCount += organisation.keys.size();
    this->entries.reserve(keyCount);
    for (std::size_t position = 0; position < organisations.size(); ++position) {
        for (const std::string &key : organisations[position].keys)
            this->entries.emplace(this->digestOf(key), Entry{key, position});
    }
}

std::optional<KeyMatch> KeyIndex::find(std::string_view key) const
{
    const KeyDigest digest = this->digestOf(key);
    const auto [begin, end] = this->entries.equal_range(digest);
    for (auto entry = begin; entry != end; ++entry) {
        if (equalsInConstantTime(entry->second.key, key))
            return KeyMatch{&(*this->table->organisations())[entry->second.position], digest};
    }
    return std::nullopt;
}

bool KeyIndex::holds(KeyDigest digest, const core::OrganisationName &organisation) const
{
    const auto [begin, end] = this->entries.equal_range(digest);
    for (auto entry = begin; entry != end; ++entry) {
        if ((*this->table->organisations())[entry->second.position].name == organisation)
            return true;
    }
    return false;
}

KeyDigest KeyIndex::digestOf(std::string_view key) const
{
    return core::stableHash(key, this->hashSeed);
}

} // namespace amaranthdale::organisations
