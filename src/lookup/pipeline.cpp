#include "lookup/pipeline.h"

namespace cranberryshed::lookup {

namespace {

    // Callers use a reply for 4 to 6 s: long enough to save look-ups, short enough that they leave a stopped entry VM
    // within seconds. The spread prevents callers that started together from repeating their look-ups together.
    constexpr core::Duration minTimeToLive = std::chrono::seconds(4);
    constexpr std::uint32_t timeToLiveSpreadMs = 2000;

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

Step LocateCaller::operator()(Context context, core::TimePoint) const
{
    if (context.table->addressBlocks)
        context.site = context.table->addressBlocks->siteOf(context.query.caller);
    return Step::pass(std::move(context));
}

Step RankMembers::operator()(Context context, core::TimePoint) const
{
    if (context.table->siteRanks) {
        const core::RankedMembers ranked = context.table->siteRanks->rank(context.site, context.query.caller);
        context.reply.entries.assign(ranked.members.begin(), ranked.members.begin() + ranked.count);
    }
    const std::uint32_t spread = (static_cast<std::uint32_t>(context.query.caller) * 2654435761U >> 16U) % timeToLiveSpreadMs;
    context.reply.timeToLive = minTimeToLive + std::chrono::milliseconds(spread);
    return Step::pass(std::move(context));
}

}
