#pragma once

#include "control/pipeline_types.h"

namespace cranberryshed::control {

// The confidence in load data of this age: 1 up to 6 s, then falling linearly to 0 at 30 s.
double confidenceAfter(core::Duration age);

// The share of a service's capacity that is kept free, 0 to 0.95: the largest headroom of its classes' targets.
double headroomOf(const core::Declarations&, const std::string& service);

// The largest share of a service's traffic that planned shifts can move per minute: the smallest cap of its classes'
// targets, or 0.1 if none states a cap.
double shiftCapOf(const core::Declarations&, const std::string& service);

// Filter: ejects failing servers and computes the load of each region and the age of the load digests behind it.
//
// An ejection is temporary, and its duration doubles with each repetition. It ends with a probe: the server gets a
// part of its traffic until it answers. At most a third of the servers of a service in one region are ejected for
// failed attempts or an unhealthy report, because the requests themselves can be the cause. Servers that refuse
// connections are ejected without that limit, but the last server of a service that takes requests is never ejected.
class EvaluateHealthAndLoad {
public:
    Step operator()(Context, core::TimePoint now);

private:
    struct EjectionRecord {
        unsigned failures = 0; // consecutive failures, by weight
        unsigned ejections = 0; // consecutive ejections
        bool refusesConnections = false;
        bool isProbing = false; // from an ejection to the first answer after its end
        std::optional<core::TimePoint> ejectedUntil;
        std::optional<core::TimePoint> answeredAt;
    };

    void readAttempts(const Context&, core::TimePoint now);
    void readHealth(const Context&, core::TimePoint now);
    void keepNewestDigests(Context&, core::TimePoint now);
    void holdPeakAges(Context&, core::TimePoint now);
    void eject(EjectionRecord&, core::TimePoint now);
    void applyEjections(Context&, core::TimePoint now);

    std::map<std::string, EjectionRecord> records;
    std::map<std::string, core::DomainDigest> digests; // the newest digest of each failure domain
    std::map<std::string, double> peakAgeSeconds; // decaying peak of the digests' age, by region
    core::TimePoint agesUpdatedAt {};
};

// Fills Context::demand from the newest load digest of each failure domain. In the local region, this VM's own demand,
// scaled to the region's entry VMs, is a lower bound while a load digest is missing or not fresh.
void computeClassDemand(Context&, core::TimePoint now);

// Fills Context::services from the servers and from Context::demand.
void computeServiceLoads(Context&);

}
