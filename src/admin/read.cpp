#include "admin/read.h"

#include "declare/files.h"

#include <tuple>

namespace cranberryshed::admin {

namespace {

    // Objects that others refer to come first, so that a member that sees half of them misses as little as possible.
    auto order(const core::Object& object)
    {
        return std::tuple(core::parseName<declare::Kind>(object.kind).value_or(declare::Kind::Blocks), std::string_view(object.name));
    }

}

Step ReadFiles::operator()(Context context, core::TimePoint) const
{
    declare::FileObjects files = declare::readFiles(context.options.paths);
    context.declared = std::move(files.objects);
    context.problems = std::move(files.problems);
    std::stable_sort(context.declared.begin(), context.declared.end(), [](const core::Object& left, const core::Object& right) { return order(left) < order(right); });
    return Step::pass(std::move(context));
}

}
