#pragma once

#include "control/pipeline_types.h"

namespace cranberryshed::control {

// Filter: merges the list, health reports and own traffic into one life per backend server.
//
// Own traffic goes before the health endpoint, which goes before the list. A leaving mark from any source holds
// at once. Declarations of a lower revision and lists of a lower version never replace newer ones.
class MergeSources {
public:
    Step operator()(ControlInputs, core::TimePoint now);

private:
    struct Life {
        core::ServerListing listing;
        bool listed = true; // in the last accepted list
        core::TimePoint listedAt {}; // when a list last named it
        std::optional<core::TimePoint> startedAt; // of a server seen to appear or restart; none: long ago
        std::optional<core::TimePoint> answeredAt; // own traffic or health endpoint
        std::optional<core::TimePoint> leavingAt; // last mark of any source
        bool ownMark = false; // the mark comes from this VM's list, health reports or traffic
        std::optional<core::LoadReport> report;
    };

    void acceptDeclarations(ControlInputs&);
    void acceptList(const core::ServerList&, core::TimePoint now);
    void acceptHealth(const std::vector<HealthReport>&);
    void acceptTraffic(const std::vector<AttemptReport>&);
    void acceptMarks(const std::vector<std::string>&, core::TimePoint now);
    void forget(core::TimePoint now);
    void addServers(Context&, core::TimePoint now) const;

    std::shared_ptr<const core::Declarations> declarations;
    std::map<std::string, Life> lives;
    std::optional<std::uint64_t> listVersion;
    core::TimePoint listAcceptedAt {};
};

// The share of its usual traffic that a server may get, `elapsed` after its start: rises in a line over the
// warm-up from a first share that lets its caches fill.
double warmthAfter(core::Duration elapsed, core::Duration warmUp);

}
