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
    std::int64_t unixMs = 0; // by the clock of the VM
    std::string origin; // name of the VM: from the prefix of the line, else the name of the log
    std::string event;
    boost::json::object fields; // in the order of the line
};

// Reads the structured lines of a log and skips all others. The last word before a line's JSON object, such as the name
// of a VM that a log collector added, becomes the record's origin. Without such a prefix it is `origin`.
std::vector<LogRecord> readLog(std::istream&, const std::string& origin);

// Prints all records of one request on all VMs in the order of time, with the inputs of each decision, and those of the
// crashes because of which it was not sent. Returns false if there is none.
bool printTimeline(const std::vector<LogRecord>&, const std::string& request, std::ostream&);

// Prints the `count` requests with the longest time from arrival to answer, the slowest first.
void printSlowest(const std::vector<LogRecord>&, std::size_t count, std::ostream&);

// Prints how many requests the entry VMs answered with an error, by error, with the id of one request for each.
void printRefused(const std::vector<LogRecord>&, std::ostream&);

}
