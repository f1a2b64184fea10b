#pragma once

#include "core/enums.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberryshed::core {

// Typed declarations, as the control pipeline reads them. declare/ turns objects into these.

struct LinkDeclaration {
    std::string toRegion;
    Duration oneWayDelay {};
    double capacityMbitPerSecond = 0; // each way, for all traffic
};

struct RegionDeclaration {
    std::string name;
    std::vector<LinkDeclaration> links;
};

struct DomainDeclaration {
    std::string name;
    std::string region;
    Duration oneWayDelay {}; // to the other failure domains of its region
};

// How requests of a class are recognised and what kind of work they are.
struct ClassDeclaration {
    std::string name;
    std::string host; // empty: any host
    std::vector<std::string> methods; // empty: any method
    std::string pathPrefix;
    std::string service;
    Idempotency idempotency = Idempotency::Idempotent;
    WorkLength length = WorkLength::Short;
    Duration deadline {};
    std::uint64_t typicalBytes = 0; // of one answer, for link shares; 0: unknown
    std::string route; // classes of one route match the same requests and share them by weight; empty: a route of its own
    double weight = 1; // share of the route's requests, relative to the other classes of the route
    unsigned priority = 0; // 0 is the highest
    unsigned maxAttempts = 0; // backend servers that one request may be sent to; 0: no limit of the class's own
    bool requiresKey = true; // work that is not idempotent is only run with a request key
    bool usesAffinity = false; // requests with the same affinity run faster on a server that ran one recently
};

// What is known of a service beside its servers.
struct ServiceDeclaration {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 330; // per backend server
    Duration coldDuration {}; // how long a server is cold after its start
    double maxColdRequestsPerSecond = 0; // requests per second that a cold server can take; 0: unknown
};

// What callers may send and how long they may take.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 0;
    std::uint64_t maxBodyBytes = 0;
    Duration headerTimeout {};
    Duration idleTimeout {};

    bool operator==(const CallerLimits&) const = default;
};

// What the operators ask for, per class.
struct TargetDeclaration {
    std::string className;
    Duration latency {}; // p99 of an answer's first byte
    double headroom = 0; // share of capacity kept free, 0 to 1
    std::vector<std::string> allowedRegions; // empty: all
    double maxShiftPerMinute = 0; // largest share of the class's traffic moved per minute by a planned shift, 0 to 1
};

// Backend servers whose contract ends on one date.
struct BatchDeclaration {
    std::string name;
    std::string service;
    WallTime contractEnd {};
    std::string replacement; // the batch that takes over; empty: all others of the service
    WallTime declaredAt {}; // when the contract end was declared, as stated with it; 0: unknown, long ago
    Duration warmUp {}; // time until a new server of the batch takes its full share; 0: the default
};

// Where callers are. A block belongs to one site; a site is near some regions.
struct SiteDeclaration {
    std::string name;
    std::vector<std::string> nearestDomains; // nearest first
};

struct AddressBlockDeclaration {
    std::uint32_t firstAddress = 0; // IPv4, host byte order
    std::uint8_t prefixLength = 0;
    std::string site;
};

struct Declarations {
    std::uint64_t revision = 0; // highest revision of any object in it
    std::vector<RegionDeclaration> regions;
    std::vector<DomainDeclaration> domains;
    std::vector<ClassDeclaration> classes;
    std::vector<TargetDeclaration> targets;
    std::vector<BatchDeclaration> batches;
    std::vector<SiteDeclaration> sites;
    std::vector<AddressBlockDeclaration> blocks;
    std::vector<ServiceDeclaration> services;
    std::optional<CallerLimits> callerLimits;
};

// One row of the platform's list of VMs. The list lags.
struct ServerListing {
    std::string name;
    std::string address; // "IP:port"
    std::string service;
    std::string batch;
    std::string domain;
    bool leaving = false;
    std::uint32_t slots = 3;
    std::uint32_t maxConnections = 330;
    std::uint64_t startedAtMs = 0; // Unix time of its start as it states it; tells two starts under one name apart; 0: unknown
    std::optional<TimePoint> coldUntil; // by its own statement
};

struct ServerList {
    std::uint64_t version = 0; // of the list in the store
    TimePoint receivedAt {};
    std::vector<ServerListing> servers;
};

}
