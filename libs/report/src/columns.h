// Table and column definitions of a report, shared by all output formats and the JSON decoder. A
// new column takes one line here.
#pragma once

#include "cells.h"

namespace amaranthdale::report {

/// Calls `visit` with each table of a report part.
template<class Visitor>
void forEachTable(Visitor &&visit)
{
    visit(Table<RequestRow>{"requests",
                            &ReportPart::requests,
                            {
                                    column("service", &RequestRow::service),
                                    column("dataCentre", &RequestRow::dataCentre),
                                    column("server", &RequestRow::server),
                                    column("answered", &RequestRow::answered),
                                    column("notRun", &RequestRow::notRun),
                                    column("unknown", &RequestRow::unknown),
                                    column("retried", &RequestRow::retried),
                                    column("hedged", &RequestRow::hedged),
                                    column("latencyMean", &RequestRow::latencyMean),
                                    column("latency50", &RequestRow::latency50),
                                    column("latency95", &RequestRow::latency95),
                                    column("latency99", &RequestRow::latency99),
                                    column("latencyMost", &RequestRow::latencyMost),
                            }});
    visit(Table<RefusalRow>{"refusals",
                            &ReportPart::refusals,
                            {
                                    column("service", &RefusalRow::service),
                                    column("dataCentre", &RefusalRow::dataCentre),
                                    column("server", &RefusalRow::server),
                                    column("reason", &RefusalRow::reason),
                                    column("requests", &RefusalRow::requests),
                            }});
    visit(Table<LoadRow>{"loads",
                         &ReportPart::loads,
                         {
                                 column("service", &LoadRow::service),
                                 column("server", &LoadRow::server),
                                 column("inFlight", &LoadRow::inFlight),
                                 column("queued", &LoadRow::queued),
                                 column("limit", &LoadRow::limit),
                                 column("limitReason", &LoadRow::reason),
                         }});
    visit(Table<OwnershipRow>{"ownership",
                              &ReportPart::ownership,
                              {
                                      column("service", &OwnershipRow::service),
                                      column("server", &OwnershipRow::server),
                                      column("cause", &OwnershipRow::cause),
                                      column("changes", &OwnershipRow::changes),
                                      column("slots", &OwnershipRow::slots),
                              }});
    visit(Table<UnavailableRow>{"unavailable",
                                &ReportPart::unavailable,
                                {
                                        column("service", &UnavailableRow::service),
                                        column("server", &UnavailableRow::server),
                                        column("intervals", &UnavailableRow::intervals),
                                        column("longest", &UnavailableRow::longest),
                                        column("slotTime", &UnavailableRow::slotTime),
                                }});
    visit(Table<BurnRow>{"burn",
                         &ReportPart::burn,
                         {
                                 column("service", &BurnRow::service),
                                 column("window", &BurnRow::window),
                                 column("availability", &BurnRow::availability),
                                 column("requests", &BurnRow::requests),
                                 column("notRun", &BurnRow::notRun),
                                 column("unknown", &BurnRow::unknown),
                                 column("budget", &BurnRow::budget),
                                 column("burnRate", &BurnRow::burnRate),
                                 column("latency", &BurnRow::latency),
                                 column("latencyShare", &BurnRow::latencyShare),
                                 column("slow", &BurnRow::slow),
                                 column("latencyBurnRate", &BurnRow::latencyBurnRate),
                                 column("spender", &BurnRow::spender),
                         }});
    visit(Table<ConfigurationRow>{"configuration",
                                  &ReportPart::configuration,
                                  {
                                          column("service", &ConfigurationRow::service),
                                          column("version", &ConfigurationRow::version),
                                  }});
}

/// Returns the columns that describe the part itself.
inline std::vector<Column<ReportPart>> partColumns()
{
    return {
            column("instance", &ReportPart::instance),
            column("instanceDataCentre", &ReportPart::dataCentre),
            column("offset", &ReportPart::offset),
            column("age", &ReportPart::age),
    };
}

} // namespace amaranthdale::report
