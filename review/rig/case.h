#pragma once

// What the cases share: the configuration, the servers, and a client's request.

#include "fleet.h"
#include "upstream.h"

#include <memory>

namespace rig {

inline constexpr int ruleBroken = 1;
inline constexpr int ruleHeld = 0;
inline constexpr int couldNotRun = 2;

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

struct Route {
    std::string name;
    std::string prefix;
    std::string type; // safe or unsafe
    std::string service;
    std::string timeout = "2500ms";
    int maxAttempts = 2;
};

inline void writeConfiguration(Store& store, const std::vector<Route>& routes)
{
    std::string resources;
    std::set<std::string> services;
    for (const Route& route : routes) {
        resources += R"({"resource_kind":"routes","metadata":{"name":")" + route.name + R"("},"spec":{"host":"ficu95.example","path_prefix":")" + route.prefix + R"(","route_type":")" + route.type + R"(","timeout":")" + route.timeout + R"(","target_latency":"400ms","priority":1,"service":")" + route.service + R"(","max_attempts":)" + std::to_string(route.maxAttempts) + R"(,"session_affinity":false,"allowed_regions":[]}},)";
        services.insert(route.service);
    }
    for (const std::string& service : services)
        resources += R"({"resource_kind":"services","metadata":{"name":")" + service + R"("},"spec":{"health_path":"/health","max_connections":330,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":6.3}},)";
    resources += R"({"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}})";
    store.put("config", "main", R"({"version":"r7","resources":[)" + resources + "]}");
}

// An id for one client attempt.
inline std::string newRequestId()
{
    static std::atomic<std::uint64_t> last = 0x9c41d07b00000000;
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++last));
    return text;
}

inline std::string requestText(const std::string& method, const std::string& target, const std::string& id, int deadlineMs, const std::string& body, const std::string& fields = {})
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + fields;
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// Sends one request on a kept connection, which is opened if necessary, and reads its answer. A real client waits for
// its deadline and a little longer.
inline Message exchange(Connection& connection, const EntryVm& vm, const std::string& text, int deadlineMs)
{
    if ((!connection.isOpen() || connection.isClosedByPeer()) && !connection.open(vm.ip, vm.port))
        return {};
    if (!connection.write(text))
        return {};
    Message answer = connection.read(true, Clock::now() + Ms(deadlineMs + 500));
    if (!answer.complete || !answer.delimited || sameName(answer.field("Connection"), "close"))
        connection.close();
    return answer;
}

inline bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}
