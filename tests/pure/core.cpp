#include "core/errors.h"
#include "core/pipe.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace core = cranberryshed::core;

namespace {

using Step = core::Outcome<int, std::string>;

struct Double {
    Step operator()(int value, core::TimePoint) const { return Step::pass(value * 2); }
};

struct RejectAbove {
    int limit;
    Step operator()(int value, core::TimePoint) const { return value > this->limit ? Step::end("too large") : Step::pass(value); }
};

}

// Guards against a pipe that goes on after a filter ended it: 6 is doubled to 12, which the second filter ends with
// its answer, so the third filter must not run.
TEST_CASE("a pipe stops at the first filter that ends it", "[core]")
{
    core::Pipe<Double, RejectAbove, Double> pipe { Double {}, RejectAbove { 10 }, Double {} };
    CHECK(pipe(4, {}).output() == 16);
    CHECK(pipe(6, {}).answer() == "too large");
}

// Guards against two error kinds with the same name, which would make logs, metrics and answers ambiguous, and against
// a kind that allows a retry although the request was or may have been run.
TEST_CASE("every error kind has a unique name and allows a retry only if the request was not run", "[core]")
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(core::ErrorKind::CallerGone); ++i) {
        const core::ErrorKindInfo& info = core::errorInfo(static_cast<core::ErrorKind>(i));
        CHECK(names.insert(info.name).second);
        CHECK(core::errorKindFromName(info.name) == static_cast<core::ErrorKind>(i));
        if (info.runState != core::RunState::NotRun)
            CHECK_FALSE(info.isRetryAllowed);
    }
}

// Guards against a name that is parsed to the wrong enumerator, and against an unknown name that is accepted: a wrong
// row in a table of names would change what settings and declarations mean.
TEST_CASE("names parse back to their enumerators", "[core]")
{
    CHECK(core::parseName<core::MemberState>("leaving") == core::MemberState::Leaving);
    CHECK_FALSE(core::parseName<core::MemberState>("away"));
    CHECK(core::joinedNames<core::Idempotency>() == "idempotent, non-idempotent");
}
