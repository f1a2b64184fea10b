#include "admin/check.h"

#include "declare/consistency.h"
#include "declare/parse.h"

#include <boost/json.hpp>

namespace cranberryshed::admin {

namespace {

    Step failWithProblemCount(Context context)
    {
        std::size_t count = context.problems.size();
        return fail(std::move(context), core::ErrorKind::BadDeclaration, std::to_string(count) + (count == 1 ? " fault" : " faults") + " found; nothing was written");
    }

}

Step CheckObjects::operator()(Context context, core::TimePoint) const
{
    for (const core::Object& object : context.declared) {
        std::vector<declare::Problem> objectProblems = declare::checkContent(*core::parseName<declare::Kind>(object.kind), object.name,
            boost::json::parse(object.content), declare::UnknownKeys::Refuse);
        context.problems.insert(context.problems.end(), objectProblems.begin(), objectProblems.end());
        if (object.content.size() > store::maxContentBytes)
            context.problems.push_back({ object.kind + '/' + object.name, "has " + std::to_string(object.content.size()) + " bytes; at most " + std::to_string(store::maxContentBytes) + " are allowed" });
    }
    if (!context.problems.empty())
        return failWithProblemCount(std::move(context));
    return Step::pass(std::move(context));
}

Step CheckConsistency::operator()(Context context, core::TimePoint) const
{
    std::vector<core::Object> all = context.declared;
    declare::ConsistencyOptions options { .now = context.options.now, .unchanged = {}, .servers = context.servers ? &*context.servers : nullptr };
    for (const Difference& difference : context.differences) {
        if (difference.change == Change::OnlyInStore)
            all.push_back(difference.stored.object);
        if (difference.change == Change::OnlyInStore || difference.change == Change::Same)
            options.unchanged.insert(difference.declared.kind + '/' + difference.declared.name);
    }
    context.problems = declare::checkConsistency(declare::parseDeclarations(all), options);
    if (!context.problems.empty())
        return failWithProblemCount(std::move(context));
    return Step::pass(std::move(context));
}

}
