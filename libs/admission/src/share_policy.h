// Admission by shares of each route's demand.
//
// Each route and priority is a group. The next slot goes to the group whose served part of its
// demand, divided by its share, is the smallest. Groups in which nothing waits take no part, so the
// others borrow what they leave. As shares never grow with a less urgent priority, no route is
// served less often than a less urgent one while both have requests waiting. Within a group,
// organisations take turns by slot time, so that more requests give an organisation no larger part.
#pragma once

#include "counts.h"
#include "promise_schedule.h"

#include "amaranthdale/admission/admission_policy.h"

#include <array>
#include <map>

namespace amaranthdale::admission {

class SharePolicy : public AdmissionPolicy
{
public:
    explicit SharePolicy(const AdmissionOptions &policyOptions);

    Arrival arrive(const Applicant &applicant, core::TimePoint now) override;
    std::optional<std::size_t> selectNext(std::span<const WaitingRequest> waiting,
                                          core::TimePoint now) const override;
    void onGranted(const WaitingRequest &request, core::TimePoint now) override;
    Verdict judge(const WaitingRequest &request, std::span<const WaitingRequest> waiting,
                  double slots, core::TimePoint now) override;
    std::vector<RouteShare> shares(core::TimePoint now) const override;

    /// Groups of one pool. Requests of further routes share the last one.
    static constexpr std::size_t maxGroups = 64;

    /// Organisations of one group. Further ones share the entries of others.
    static constexpr std::size_t maxOrganisations = 128;

private:
    struct Group
    {
        std::string route;
        unsigned priority = 0;
        core::Duration targetLatency{}; ///< Largest one seen; later attempts have less time left.
        double share = 1;
        double asked = 0;             ///< In units of `scale`.
        double granted = 0;           ///< In units of `scale`.
        core::Duration serviceTime{}; ///< Of its last request that was granted or judged.
        std::map<std::string, ClassId> organisations;
    };

    struct Class
    {
        std::size_t group = 0;
        double slotTime = 0;      ///< Seconds of granted slots, in units of `scale`.
        PromiseSchedule promises; ///< By class: one organisation's returns take no room of others.
    };

    // Work ahead of a request, as times on one slot.
    struct WorkAhead
    {
        core::Duration sameClass{};
        core::Duration sameGroup{};
        core::Duration all{};
        std::size_t classesOfGroup = 1; ///< That have requests waiting, its own included.
    };

    // Slots that a group gets while the demand of all groups stays as it is.
    struct GroupSlots
    {
        double slots = 0;
        bool saturated = false; ///< The groups together ask for more than the pool has.
    };

    std::size_t findGroup(const Applicant &applicant);
    ClassId findClass(std::size_t group, const std::string &organisation);
    double effectiveShare(const Group &group) const;
    void updateLargestShare(core::TimePoint now);
    void rebaseCounts(core::TimePoint now);
    GroupSlots slotsOf(std::size_t ownGroup, double slots, core::TimePoint now) const;
    WorkAhead workAhead(const WaitingRequest &request, std::span<const WaitingRequest> waiting,
                        core::TimePoint now) const;
    core::Duration expectedWait(const WaitingRequest &request, const WorkAhead &work,
                                const GroupSlots &own, double slots) const;

    const AdmissionOptions options;
    DecayScale scale;
    double largestShare = 1; ///< Of the groups with recent demand.
    std::map<std::pair<std::string, unsigned>, std::size_t> groupIndex;
    std::vector<Group> groups;
    std::vector<Class> classes;
};

} // namespace amaranthdale::admission
