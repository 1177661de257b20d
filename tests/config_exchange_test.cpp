/** @file config_exchange_test.cpp Tests of how entries learn of a newer configuration from each other. */

#include "config/config_exchange.h"

#include <doctest/doctest.h>
#include <vector>

namespace
{

using namespace medlarmill;

constexpr Duration STEP = Millis(10); ///< Time between ticks.
constexpr Duration ANNOUNCE_INTERVAL = Millis(500); ///< Time between announcements of an unchanged version.

/** Entries with links to each other; the table delivers each version to all entries but those that it turns away. */
class Entries
{
public:
    explicit Entries(std::size_t count)
        : entries_(count)
    { }

    /** The table has a new version. @param version the version. */
    void publish(std::uint64_t version)
    {
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            entries_[index].tableVersion = version;
            entries_[index].tableAt = now_ + Millis(static_cast<std::int64_t>(index) * 13 % 100);
        }
    }

    void run(Duration time)
    {
        for (const Instant end = now_ + time; now_ < end; now_ += STEP) {
            for (std::size_t index = 0; index < entries_.size(); ++index) {
                tick(index);
            }
        }
    }

    void turnAway(std::size_t index)
    {
        entries_[index].isTurnedAway = true;
    }

    void silence(std::size_t index)
    {
        entries_[index].isSilent = true;
    }

    void loseAnnouncements(bool lost)
    {
        announcementsLost_ = lost;
    }

    std::uint64_t version(std::size_t index) const
    {
        return entries_[index].version;
    }

    std::size_t documentsSent() const
    {
        return documentsSent_;
    }

private:
    struct Entry
    {
        ConfigExchange exchange;
        std::uint64_t version = 0;
        std::uint64_t tableVersion = 0;
        Instant tableAt;
        Instant announcedAt = Instant::min();
        bool isTurnedAway = false;
        bool isSilent = false; ///< It announces, and answers no request.
    };

    void apply(std::size_t index, std::uint64_t version)
    {
        Entry &entry = entries_[index];
        if (version <= entry.version) {
            return;
        }
        entry.version = version;
        entry.exchange.onOwnVersion(version);
        entry.announcedAt = Instant::min();
    }

    void announce(std::size_t index)
    {
        entries_[index].announcedAt = now_;
        for (std::size_t peer = 0; peer < entries_.size(); ++peer) {
            if (peer != index && !announcementsLost_) {
                entries_[peer].exchange.onPeerVersion(Incarnation{index + 1}, entries_[index].version, now_);
            }
        }
    }

    void tick(std::size_t index)
    {
        Entry &entry = entries_[index];
        if (!entry.isTurnedAway && now_ >= entry.tableAt) {
            apply(index, entry.tableVersion);
        }
        if (entry.announcedAt == Instant::min() || now_ >= entry.announcedAt + ANNOUNCE_INTERVAL) {
            announce(index);
        }
        const std::optional<Incarnation> asked = entry.exchange.takePeerToAsk(now_);
        if (asked.has_value() && !entries_[static_cast<std::size_t>(*asked) - 1].isSilent) {
            ++documentsSent_;
            apply(index, entries_[static_cast<std::size_t>(*asked) - 1].version);
        }
    }

    std::vector<Entry> entries_;
    Instant now_ = Instant(Millis(1'000));
    bool announcementsLost_ = false;
    std::size_t documentsSent_ = 0;
};

/** @return whether all entries have a version. */
bool allHave(const Entries &entries, std::size_t count, std::uint64_t version)
{
    for (std::size_t index = 0; index < count; ++index) {
        if (entries.version(index) != version) {
            return false;
        }
    }
    return true;
}

}

TEST_CASE("changes in quick series are not copied between entries that read the table")
{
    Entries entries(55);
    entries.publish(1);
    entries.run(Millis(500));
    const std::size_t before = entries.documentsSent();
    for (std::uint64_t version = 2; version <= 50; ++version) {
        entries.publish(version);
        entries.run(Millis(110));
    }
    CHECK(allHave(entries, 55, 50));
    CHECK(entries.documentsSent() == before);
}

TEST_CASE("an entry that the table turns away fetches each change once, within a second")
{
    Entries entries(11);
    entries.publish(1);
    entries.run(Millis(500));
    entries.turnAway(4);
    const std::size_t before = entries.documentsSent();
    for (std::uint64_t version = 2; version <= 20; ++version) {
        entries.publish(version);
        entries.run(Millis(1'000));
        CHECK(entries.version(4) == version);
    }
    CHECK(entries.documentsSent() - before == 19);
}

TEST_CASE("a version whose announcement was lost is fetched after a later announcement")
{
    Entries entries(3);
    entries.publish(1);
    entries.run(Millis(500));
    entries.turnAway(0);
    entries.loseAnnouncements(true);
    entries.publish(2);
    entries.run(Millis(200));
    CHECK(entries.version(0) == 1);
    entries.loseAnnouncements(false);
    entries.run(Millis(1'000));
    CHECK(entries.version(0) == 2);
}

TEST_CASE("a peer that does not answer is passed over")
{
    Entries entries(11);
    entries.publish(1);
    entries.run(Millis(500));
    entries.turnAway(10);
    entries.silence(0);
    entries.silence(1);
    entries.publish(2);
    entries.run(Millis(1'500));
    CHECK(entries.version(10) == 2);
}

TEST_CASE("an entry is not behind a version that only a lost peer had")
{
    ConfigExchange exchange;
    const Instant now = Instant(Millis(1'000));
    exchange.onOwnVersion(3);
    exchange.onPeerVersion(Incarnation{1}, 4, now);
    CHECK(exchange.behindFor(now + Millis(200)) == Millis(200));
    exchange.onPeerDown(Incarnation{1});
    CHECK(exchange.behindFor(now + Millis(200)) == Duration(0));
    CHECK(!exchange.takePeerToAsk(now + Millis(200)).has_value());
}
