#pragma once

#include "core/enums.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberryshed::core {

// Typed form of the operators' declarations. src/declare parses objects of the platform's API into these structs,
// which are the input of the control pipeline.

struct LinkDeclaration {
    std::string toRegion;
    Duration oneWayDelay {};
    double capacityMbitPerSecond = 0; // in each direction, for all traffic
};

struct RegionDeclaration {
    std::string name;
    std::vector<LinkDeclaration> links;
};

struct DomainDeclaration {
    std::string name;
    std::string region;
    Duration oneWayDelay {}; // between this failure domain and the others of its region
};

// A class of requests: which requests belong to it and how they are handled.
struct ClassDeclaration {
    std::string name;
    std::string host; // empty: any host
    std::vector<std::string> methods; // empty: any method
    std::string pathPrefix;
    std::string service;
    Idempotency idempotency = Idempotency::Idempotent;
    WorkLength length = WorkLength::Short;
    Duration deadline {};
    std::uint64_t typicalBytes = 0; // typical size of one answer, from which link shares are computed; 0: unknown
    // Classes with the same route match the same requests, which are split between them by weight. Empty: no other
    // class has this route.
    std::string route;
    double weight = 1; // share of the route's requests, relative to the other classes of the route
    unsigned priority = 0; // 0 is the highest
    unsigned maxAttempts = 0; // of one request, the first one included; 0: request::RetryOptions::maxAttempts applies
    bool requiresKey = true; // whether a non-idempotent request is run only with a request key
    bool usesAffinity = false; // whether a request runs faster on a server that recently ran one with the same affinity
};

// The properties that all backend servers of a service share.
struct ServiceDeclaration {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 330; // per backend server
    Duration coldDuration {}; // time for which a server is cold after its start
    double maxColdRequestsPerSecond = 0; // that one cold server can handle; 0: unknown
};

// Limits on the size of callers' requests and on the time that callers take to send them.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 0;
    std::uint64_t maxBodyBytes = 0;
    Duration headerTimeout {};
    Duration idleTimeout {};

    bool operator==(const CallerLimits&) const = default;
};

// The operators' targets for one class.
struct TargetDeclaration {
    std::string className;
    Duration latency {}; // p99 of the time until an answer's first byte
    double headroom = 0; // share of the service's capacity to keep free, 0 to 1
    std::vector<std::string> allowedRegions; // empty: all
    // Largest share of the class's traffic that a planned shift moves per minute, 0 to 1. 0: a default applies.
    double maxShiftPerMinute = 0;
};

// Backend servers whose contracts end on the same date.
struct BatchDeclaration {
    std::string name;
    std::string service;
    WallTime contractEnd {};
    std::string replacement; // name of the batch that takes over; empty: all other batches of the service
    WallTime declaredAt {}; // when the contract end was declared, as the declaration states; 0: unknown, long ago
    Duration warmUp {}; // time until a new server of the batch gets its full share of traffic; 0: a default applies
};

// A location of callers and the failure domains near it. Each block of caller addresses belongs to one site.
struct SiteDeclaration {
    std::string name;
    std::vector<std::string> nearestDomains; // nearest first
};

// A block of caller addresses, all at one site.
struct AddressBlockDeclaration {
    std::uint32_t firstAddress = 0; // IPv4, host byte order
    std::uint8_t prefixLength = 0;
    std::string site;
};

struct Declarations {
    std::uint64_t revision = 0; // highest revision of the declared objects
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

// One row of the platform's server list: a backend server. The list lags behind the actual state of the VMs.
struct ServerListing {
    std::string name;
    std::string address; // "IP:port"
    std::string service;
    std::string batch;
    std::string domain;
    bool leaving = false;
    std::uint32_t slots = 3;
    std::uint32_t maxConnections = 330;
    // Unix time of the server's start, as the server reports it. Distinguishes two starts under one name. 0: unknown.
    std::uint64_t startedAtMs = 0;
    std::optional<TimePoint> coldUntil; // as the server reports it
};

struct ServerList {
    std::uint64_t version = 0; // position of the list in the store, see object_order.h
    TimePoint receivedAt {};
    std::vector<ServerListing> servers;
};

}
