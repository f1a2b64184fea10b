#include "lookup/pipeline.h"

namespace cranberryshed::lookup {

namespace {

    constexpr core::Duration timeToLive = std::chrono::seconds(5);

}

Step FindClass::operator()(Context context, core::TimePoint) const
{
    const std::vector<core::ClassEntry>& classes = context.table->classes;
    for (std::uint32_t i = 0; i < classes.size(); ++i) {
        if (classes[i].name == context.query.className) {
            context.classIndex = core::ClassIndex { i };
            return Step::pass(std::move(context));
        }
    }
    return Step::end(core::ErrorKind::NoSuchClass);
}

Step RankMembers::operator()(Context context, core::TimePoint) const
{
    const std::vector<core::MemberEntry>& members = context.table->members;
    for (std::uint32_t i = 0; i < members.size(); ++i) {
        if (members[i].state == core::MemberState::Alive)
            context.reply.entries.push_back(core::MemberIndex { i });
    }
    context.reply.timeToLive = timeToLive;
    return Step::pass(std::move(context));
}

}
