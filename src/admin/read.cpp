#include "admin/read.h"

#include "declare/files.h"

#include <tuple>

namespace cranberryshed::admin {

namespace {

    // Sort key that puts objects before those that refer to them, so a member that has received only a part of them has
    // as few references to missing objects as possible.
    auto sortKey(const core::Object& object)
    {
        return std::tuple(core::parseName<declare::Kind>(object.kind).value_or(declare::Kind::Blocks), std::string_view(object.name));
    }

}

Step ReadFiles::operator()(Context context, core::TimePoint) const
{
    declare::FileObjects files = declare::readFiles(context.options.paths);
    context.declared = std::move(files.objects);
    context.problems = std::move(files.problems);
    std::stable_sort(context.declared.begin(), context.declared.end(), [](const core::Object& left, const core::Object& right) { return sortKey(left) < sortKey(right); });
    return Step::pass(std::move(context));
}

}
