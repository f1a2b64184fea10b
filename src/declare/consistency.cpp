#include "declare/consistency.h"

#include "declare/text_formats.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>

namespace cranberryshed::declare {

namespace {

    // A site is one byte in the table of caller blocks, and one value means "no site".
    constexpr std::size_t mostSites = 255;

    std::string minutesText(double minutes)
    {
        std::array<char, 48> text {};
        if (minutes < 120)
            std::snprintf(text.data(), text.size(), "%.0f min", std::ceil(minutes));
        else
            std::snprintf(text.data(), text.size(), "%.1f h", std::ceil(minutes / 6) / 10);
        return text.data();
    }

    template <typename List>
    auto named(const List& list, const std::string& name)
    {
        return std::find_if(list.begin(), list.end(), [&](const auto& entry) { return entry.name == name; });
    }

    template <typename List>
    bool has(const List& list, const std::string& name)
    {
        return named(list, name) != list.end();
    }

    // Whether both classes may match the same request equally well.
    bool overlap(const core::ClassDeclaration& first, const core::ClassDeclaration& second)
    {
        if (first.host != second.host || first.pathPrefix != second.pathPrefix)
            return false;
        if (first.methods.empty() || second.methods.empty())
            return first.methods.empty() == second.methods.empty();
        return std::any_of(first.methods.begin(), first.methods.end(), [&](const std::string& method) {
            return std::find(second.methods.begin(), second.methods.end(), method) != second.methods.end();
        });
    }

    // Collects the faults of declarations that were each found well-formed.
    class TogetherChecker {
    public:
        TogetherChecker(const core::Declarations& allDeclarations, const ConsistencyOptions& checkOptions)
            : declarations(allDeclarations)
            , options(checkOptions)
        {
        }

        std::vector<Problem> run()
        {
            this->checkRegions();
            this->checkClasses();
            this->checkTargets();
            this->checkBatches();
            this->checkSites();
            this->checkBlocks();
            return std::move(this->problems);
        }

    private:
        void add(const std::string& object, const std::string& key, const std::string& text)
        {
            this->problems.push_back({ object + ' ' + key, text });
        }

        bool isUnchanged(const std::string& object) const { return this->options.unchanged.contains(object); }

        void checkRegions()
        {
            for (const core::RegionDeclaration& region : this->declarations.regions) {
                for (const core::LinkDeclaration& link : region.links) {
                    if (link.toRegion == region.name)
                        this->add("region/" + region.name, "links", "leads to the region itself");
                    else if (!has(this->declarations.regions, link.toRegion))
                        this->add("region/" + region.name, "links", "leads to region \"" + link.toRegion + "\", which is not declared");
                }
            }
            for (const core::DomainDeclaration& domain : this->declarations.domains) {
                if (!has(this->declarations.regions, domain.region))
                    this->add("domain/" + domain.name, "region", "\"" + domain.region + "\" is not declared");
            }
        }

        void checkClasses()
        {
            const std::vector<core::ClassDeclaration>& classes = this->declarations.classes;
            for (std::size_t i = 0; i < classes.size(); ++i) {
                for (std::size_t j = i + 1; j < classes.size(); ++j) {
                    if (overlap(classes[i], classes[j]))
                        this->add("class/" + classes[j].name, "pathPrefix", "matches the same requests as class \"" + classes[i].name + "\"");
                }
            }
        }

        void checkTargets()
        {
            std::map<std::string, std::size_t> targetsOf;
            for (const core::TargetDeclaration& target : this->declarations.targets) {
                std::string object = "target/" + target.className;
                if (!has(this->declarations.classes, target.className))
                    this->add(object, "class", "\"" + target.className + "\" is not declared");
                if (++targetsOf[target.className] == 2)
                    this->add(object, "class", "\"" + target.className + "\" has more than one target");
                if (target.headroom >= 1)
                    this->add(object, "headroomPercent", "can't be satisfied: 100 % leaves no capacity for the class");
                this->checkAllowedRegions(object, target);
            }
        }

        void checkAllowedRegions(const std::string& object, const core::TargetDeclaration& target)
        {
            for (const std::string& region : target.allowedRegions) {
                if (!has(this->declarations.regions, region))
                    this->add(object, "allowedRegions", "\"" + region + "\" is not declared");
            }
            bool someDomain = std::any_of(this->declarations.domains.begin(), this->declarations.domains.end(), [&](const core::DomainDeclaration& domain) {
                const std::vector<std::string>& allowed = target.allowedRegions;
                return allowed.empty() || std::find(allowed.begin(), allowed.end(), domain.region) != allowed.end();
            });
            if (!someDomain)
                this->add(object, "allowedRegions", "can't be satisfied: no allowed region has a failure domain");
        }

        void checkBatches()
        {
            for (const core::BatchDeclaration& batch : this->declarations.batches) {
                std::string object = "batch/" + batch.name;
                bool ended = batch.contractEnd <= this->options.now;
                if (ended && !this->isUnchanged(object))
                    this->add(object, "contractEnd", formatTime(batch.contractEnd) + " is in the past");
                if (!batch.replacement.empty())
                    this->checkReplacement(object, batch);
                if (!ended)
                    this->checkDrain(object, batch);
            }
        }

        void checkReplacement(const std::string& object, const core::BatchDeclaration& batch)
        {
            auto other = named(this->declarations.batches, batch.replacement);
            if (batch.replacement == batch.name)
                this->add(object, "replacement", "is the batch itself");
            else if (other == this->declarations.batches.end())
                this->add(object, "replacement", "\"" + batch.replacement + "\" is not declared");
            else if (other->service != batch.service)
                this->add(object, "replacement", "\"" + batch.replacement + "\" belongs to service \"" + other->service + "\"");
            else if (other->contractEnd <= batch.contractEnd)
                this->add(object, "replacement", "\"" + batch.replacement + "\" ends no later than the batch itself");
        }

        // The share of its service's slots that a batch is; all if that is not known.
        double shareOf(const core::BatchDeclaration& batch) const
        {
            double own = 0;
            double all = 0;
            if (this->options.servers) {
                for (const core::ServerListing& server : this->options.servers->servers) {
                    if (server.service != batch.service)
                        continue;
                    all += server.slots;
                    own += server.batch == batch.name ? server.slots : 0;
                }
            }
            return all > 0 ? own / all : 1;
        }

        // A drain moves at most the shift cap per minute, and the last request may run for the class's deadline.
        void checkDrain(const std::string& object, const core::BatchDeclaration& batch)
        {
            double left = std::chrono::duration<double, std::ratio<60>>(batch.contractEnd - this->options.now).count();
            for (const core::TargetDeclaration& target : this->declarations.targets) {
                auto work = named(this->declarations.classes, target.className);
                std::string targetObject = "target/" + target.className;
                if (work == this->declarations.classes.end() || work->service != batch.service || target.maxShiftPerMinute <= 0)
                    continue;
                if (this->isUnchanged(object) && this->isUnchanged(targetObject))
                    continue;
                double needed = this->shareOf(batch) / target.maxShiftPerMinute + std::chrono::duration<double, std::ratio<60>>(work->deadline).count();
                if (needed > left)
                    this->add(targetObject, "shiftCapPercentPerMinute", "can't be satisfied: draining batch \"" + batch.name + "\" takes " + minutesText(needed) + " under this cap, but its contract ends in " + minutesText(left));
            }
        }

        void checkSites()
        {
            if (this->declarations.sites.size() > mostSites)
                this->add("site", "count", "at most " + std::to_string(mostSites) + " sites may be declared");
            for (const core::SiteDeclaration& site : this->declarations.sites) {
                for (const std::string& domain : site.nearestDomains) {
                    if (!has(this->declarations.domains, domain))
                        this->add("site/" + site.name, "nearestDomains", "\"" + domain + "\" is not declared");
                }
            }
        }

        // One fault per unknown site and per pair of sites, as there may be millions of blocks.
        void checkBlocks()
        {
            std::set<std::string> told;
            std::map<std::pair<std::uint32_t, std::uint8_t>, const std::string*> siteOf;
            for (const core::AddressBlockDeclaration& block : this->declarations.blocks) {
                if (!has(this->declarations.sites, block.site) && told.insert(block.site).second)
                    this->add("blocks of " + block.site, "site", "\"" + block.site + "\" is not declared");
                auto [entry, isNew] = siteOf.try_emplace({ block.firstAddress, block.prefixLength }, &block.site);
                if (!isNew && *entry->second != block.site && told.insert(*entry->second + ' ' + block.site).second)
                    this->add("blocks of " + block.site, "prefixes", formatPrefix({ .firstAddress = block.firstAddress, .length = block.prefixLength }) + " also belongs to site \"" + *entry->second + "\"");
            }
        }

        const core::Declarations& declarations;
        const ConsistencyOptions& options;
        std::vector<Problem> problems;
    };

}

std::vector<Problem> checkConsistency(const core::Declarations& declarations, const ConsistencyOptions& options)
{
    return TogetherChecker(declarations, options).run();
}

}
