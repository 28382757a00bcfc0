// Members with the time since each was last heard, merged from the tables of other instances.
#pragma once

#include "amaranthdale/membership/members.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::membership {

/// What one instance knows of a member, as sent to other instances. Ages travel instead of times,
/// so that the clocks of instances need not agree.
struct MemberReport
{
    Member member;
    core::Duration age{}; ///< Since the member itself was last heard, by whoever heard it.
    bool leaving = false; ///< The member said that it stops.

    bool operator==(const MemberReport &) const = default;
};

using DataCentreAges = std::map<core::DataCentreName, core::Duration>;

/// Failure detection by heartbeats that are passed on: a member is alive while somebody, not
/// necessarily this instance, has heard it within `lifetime`. A table never makes a member look
/// younger than its last heartbeat, so a dead one disappears everywhere within `lifetime` and the
/// time on the way. Not thread-safe.
class MemberTable
{
public:
    explicit MemberTable(core::Duration memberLifetime) : lifetime(memberLifetime) { }

    /// Merges reports. The newer of two reports about a name wins; of equally old ones, the one
    /// that says that the member leaves.
    void merge(const std::vector<MemberReport> &reports, core::TimePoint now);

    /// Members that are alive, sorted by name.
    std::vector<Member> alive(core::TimePoint now) const;

    /// Everything known, including members that left within `lifetime`.
    std::vector<MemberReport> reports(core::TimePoint now) const;

    /// The reports of the `count` members with the most cores of each data centre, for an instance
    /// that looks for the relay of its own one.
    std::vector<MemberReport> contacts(std::size_t count, core::TimePoint now) const;

    /// Equal for tables that hold the same members in the same states, whatever their ages.
    std::uint64_t version(core::TimePoint now) const;

    /// The largest age of a live member of each data centre.
    DataCentreAges largestAges(core::TimePoint now) const;

    /// Applies the answer of an instance whose table has the same version: no live member of these
    /// data centres is older there. One age for all would not do: two tables that confirm each
    /// other would both age.
    void confirm(const DataCentreAges &ages, core::TimePoint now);

    /// A table has at most this many entries; further names are ignored. Bounds the memory that a
    /// faulty process can take.
    static constexpr std::size_t maxEntries = 10'000;

private:
    struct Entry
    {
        Member member;
        core::TimePoint heardAt{};
        bool leaving = false;
        std::uint64_t hash = 0; ///< Of `member` and `leaving`.
    };

    void mergeOne(const MemberReport &report, core::TimePoint now);
    bool isCurrent(const Entry &entry, core::TimePoint now) const
    {
        return now - entry.heardAt < this->lifetime;
    }

    const core::Duration lifetime;
    std::map<core::InstanceName, Entry> entries; // Outdated ones are removed with the next `merge`.
};

/// Formats one report per line: "AGE alive|leaving MEMBER", with the age in milliseconds.
std::string formatReports(const std::vector<MemberReport> &reports);

/// Formats one data centre per line: "AGE NAME", with the age in milliseconds.
std::string formatAges(const DataCentreAges &ages);

/// Parses the lines of `formatAges`. Nothing if any line is malformed.
std::optional<DataCentreAges> parseAges(std::string_view text);

/// Parses the lines of `formatReports`. Skips lines that are malformed and counts them: one odd
/// member must not hide the others.
std::vector<MemberReport> parseReports(std::string_view text, std::size_t &malformed);

} // namespace amaranthdale::membership
