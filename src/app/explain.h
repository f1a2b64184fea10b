#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryshed::app {

// One structured log line (wire/event_log.h).
struct LogRecord {
    std::int64_t unixMs = 0; // the VM's time of day
    std::string origin; // the VM, as the line's prefix or the file's name says
    std::string event;
    boost::json::object fields; // of the line, in its order
};

// Reads the structured lines of a log and leaves out all others. What stands before a line's object, such as a VM's
// name that a log collector added, is its origin; without it, `origin` is.
std::vector<LogRecord> readLog(std::istream&, const std::string& origin);

// The life of one request over all VMs, in the order of time, with the inputs of each decision. Returns whether any
// record names the request.
bool printTimeline(const std::vector<LogRecord>&, const std::string& request, std::ostream&);

// The requests that were answered latest after they arrived, the slowest first.
void printSlowest(const std::vector<LogRecord>&, std::size_t count, std::ostream&);

// The requests that were answered with an error of the system's own: their number by error, with one id each.
void printRefused(const std::vector<LogRecord>&, std::ostream&);

}
