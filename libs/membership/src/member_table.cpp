// Merging, expiry and text format of member reports.
#include "amaranthdale/membership/member_table.h"

#include "amaranthdale/core/hash.h"
#include "amaranthdale/core/numbers.h"
#include "amaranthdale/membership/member_text.h"

#include <algorithm>

namespace amaranthdale::membership {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t versionHashSeed = 29;
constexpr std::string_view aliveWord = "alive";
constexpr std::string_view leavingWord = "leaving";

// Ages beyond this are outdated in every table; the bound keeps absurd numbers within a duration.
constexpr std::uint64_t maxAgeMilliseconds = 24 * 3600 * 1000;

std::uint64_t hashOf(const MemberReport &report)
{
    return core::stableHash(formatMember(report.member) + (report.leaving ? '-' : '+'),
                            versionHashSeed);
}

std::string_view takeWord(std::string_view &line)
{
    const std::size_t end = std::min(line.find(' '), line.size());
    const std::string_view word = line.substr(0, end);
    line.remove_prefix(std::min(end + 1, line.size()));
    return word;
}

std::optional<MemberReport> parseReport(std::string_view line)
{
    const auto age = core::parseUnsigned(takeWord(line));
    const std::string_view state = takeWord(line);
    auto member = parseMember(line);
    if (!age || (state != aliveWord && state != leavingWord) || !member)
        return std::nullopt;
    return MemberReport{std::move(*member), milliseconds(std::min(*age, maxAgeMilliseconds)),
                        state == leavingWord};
}

} // namespace

void MemberTable::merge(const std::vector<MemberReport> &reports, core::TimePoint now)
{
    std::erase_if(this->entries,
                  [&](const auto &entry) { return !this->isCurrent(entry.second, now); });
    for (const MemberReport &report : reports)
        this->mergeOne(report, now);
}

void MemberTable::mergeOne(const MemberReport &report, core::TimePoint now)
{
    const core::TimePoint heardAt = now - report.age;
    if (report.age >= this->lifetime)
        return;
    const auto found = this->entries.find(report.member.name);
    if (found == this->entries.end()) {
        if (this->entries.size() < maxEntries)
            this->entries.emplace(report.member.name,
                                  Entry{report.member, heardAt, report.leaving, hashOf(report)});
        return;
    }
    Entry &known = found->second;
    const bool newer = heardAt > known.heardAt || (heardAt == known.heardAt && report.leaving);
    if (!newer)
        return;
    known.heardAt = heardAt;
    if (known.member == report.member && known.leaving == report.leaving)
        return;
    known.member = report.member;
    known.leaving = report.leaving;
    known.hash = hashOf(report);
}

std::vector<Member> MemberTable::alive(core::TimePoint now) const
{
    std::vector<Member> members;
    for (const auto &[name, entry] : this->entries) {
        if (this->isCurrent(entry, now) && !entry.leaving)
            members.push_back(entry.member);
    }
    return members;
}

std::vector<MemberReport> MemberTable::reports(core::TimePoint now) const
{
    std::vector<MemberReport> all;
    for (const auto &[name, entry] : this->entries) {
        if (this->isCurrent(entry, now))
            all.push_back({entry.member, now - entry.heardAt, entry.leaving});
    }
    return all;
}

std::vector<MemberReport> MemberTable::contacts(std::size_t count, core::TimePoint now) const
{
    std::vector<MemberReport> sorted = this->reports(now);
    std::erase_if(sorted, [](const MemberReport &report) { return report.leaving; });
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const MemberReport &a, const MemberReport &b) {
                         return a.member.cores > b.member.cores;
                     });
    std::map<core::DataCentreName, std::size_t> taken;
    std::erase_if(sorted, [&](const MemberReport &report) {
        return ++taken[report.member.dataCentre] > count;
    });
    return sorted;
}

std::uint64_t MemberTable::version(core::TimePoint now) const
{
    std::uint64_t combined = 0;
    for (const auto &[name, entry] : this->entries) {
        if (this->isCurrent(entry, now))
            combined ^= entry.hash;
    }
    return combined;
}

DataCentreAges MemberTable::largestAges(core::TimePoint now) const
{
    DataCentreAges ages;
    for (const auto &[name, entry] : this->entries) {
        if (!this->isCurrent(entry, now) || entry.leaving)
            continue;
        core::Duration &largest = ages[entry.member.dataCentre];
        largest = std::max(largest, now - entry.heardAt);
    }
    return ages;
}

void MemberTable::confirm(const DataCentreAges &ages, core::TimePoint now)
{
    for (auto &[name, entry] : this->entries) {
        const auto age = ages.find(entry.member.dataCentre);
        if (age != ages.end() && this->isCurrent(entry, now) && !entry.leaving)
            entry.heardAt = std::max(entry.heardAt, now - age->second);
    }
}

std::string formatAges(const DataCentreAges &ages)
{
    std::string text;
    for (const auto &[dataCentre, age] : ages)
        text += std::to_string(std::chrono::ceil<milliseconds>(age).count()) + ' '
                + dataCentre.value + '\n';
    return text;
}

std::optional<DataCentreAges> parseAges(std::string_view text)
{
    DataCentreAges ages;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        std::string_view line = text.substr(0, end);
        const auto age = core::parseUnsigned(takeWord(line));
        if (!age || line.empty())
            return std::nullopt;
        ages[core::DataCentreName(std::string(line))] =
                milliseconds(std::min(*age, maxAgeMilliseconds));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return ages;
}

std::string formatReports(const std::vector<MemberReport> &reports)
{
    std::string text;
    for (const MemberReport &report : reports) {
        const auto age = std::chrono::ceil<milliseconds>(report.age);
        text += std::to_string(age.count()) + ' ';
        text += report.leaving ? leavingWord : aliveWord;
        text += ' ' + formatMember(report.member) + '\n';
    }
    return text;
}

std::vector<MemberReport> parseReports(std::string_view text, std::size_t &malformed)
{
    std::vector<MemberReport> reports;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        auto report = parseReport(text.substr(0, end));
        if (report)
            reports.push_back(std::move(*report));
        else
            ++malformed;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return reports;
}

} // namespace amaranthdale::membership
