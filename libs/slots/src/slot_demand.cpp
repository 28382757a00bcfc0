// Implementation of the conversion between demands and slot requests.
#include "slot_demand.h"

namespace amaranthdale::slots {

SlotRequest makeSlotRequest(const balance::Demand &demand, core::TimePoint now)
{
    SlotRequest request;
    request.route = demand.route;
    request.kind = demand.kind;
    request.priority = demand.priority;
    request.targetLatency = demand.arrived + demand.targetLatency - now;
    request.remainingTime = demand.deadline - now;
    request.tried = demand.tried;
    request.organisation = demand.organisation;
    request.hedge = demand.hedgePool.has_value();
    return request;
}

balance::Demand makeDemand(const SlotRequest &request, core::TimePoint now)
{
    balance::Demand demand;
    demand.route = request.route;
    demand.kind = request.kind;
    demand.priority = request.priority;
    demand.targetLatency = request.targetLatency;
    demand.arrived = now;
    demand.deadline = now + request.remainingTime;
    demand.owner = request.server;
    demand.tried = request.tried;
    demand.organisation = request.organisation;
    if (request.hedge)
        demand.hedgePool = request.poolDataCentre;
    return demand;
}

} // namespace amaranthdale::slots
