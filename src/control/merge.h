#pragma once

#include "control/pipeline_types.h"

namespace cranberryshed::control {

// Filter: merges the server list, health reports and attempt results into one record per backend server.
//
// Results of this VM's attempts take precedence over the health endpoint, which takes precedence over the list. A
// leaving mark from any source applies at once. Declarations of a lower revision never replace newer ones, and neither
// do lists of a lower version, unless one arrives over a minute after the last accepted list (a restored store).
class MergeSources {
public:
    Step operator()(ControlInputs, core::TimePoint now);

private:
    struct ServerRecord {
        core::ServerListing listing;
        bool listed = true; // in the last accepted list
        core::TimePoint listedAt {}; // when the last list that contains it was accepted
        std::optional<core::TimePoint> startedAt; // of a server that appeared or restarted; none: long ago
        std::optional<core::TimePoint> answeredAt; // last answer to an attempt or at the health endpoint
        std::optional<core::TimePoint> leavingAt; // last leaving mark from any source
        bool markedLocally = false; // the mark comes from this VM's list, health reports or attempts
        std::optional<core::LoadReport> report;
    };

    void acceptDeclarations(ControlInputs&);
    void acceptList(const core::ServerList&, core::TimePoint now);
    void acceptHealth(const std::vector<HealthReport>&);
    void acceptAttempts(const std::vector<AttemptReport>&);
    void acceptLeavingMarks(const std::vector<std::string>&, core::TimePoint now);
    void expire(core::TimePoint now);
    void addServers(Context&, core::TimePoint now) const;

    std::shared_ptr<const core::Declarations> declarations;
    std::map<std::string, ServerRecord> records; // by name of the server
    std::optional<std::uint64_t> listVersion;
    core::TimePoint listAcceptedAt {};
};

// The share of its usual traffic that a server can get `elapsed` after its start. It rises linearly to 1 over the
// warm-up, from an initial share that lets the server fill its caches.
double warmthAfter(core::Duration elapsed, core::Duration warmUp);

}
