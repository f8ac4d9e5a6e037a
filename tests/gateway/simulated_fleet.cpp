#include "simulated_fleet.h"

#include "gateway/endpoint_key.h"

#include <algorithm>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t headerBytes = 28; // Of IP and UDP.

} // namespace

simulated_fleet::simulated_fleet(int gatewayCount, int dataCentres, std::size_t seeds) : m_seeds(seeds)
{
    for (int number = 0; number < gatewayCount; ++number) {
        add("dc-" + std::to_string(number % dataCentres));
    }
}

simulated_gateway &simulated_fleet::add(const std::string &dataCentre, bool isOld)
{
    auto gateway = std::make_unique<simulated_gateway>();
    const std::size_t index = gateways.size();
    gateway->host = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
    gateway->dataCentre = dataCentre;
    gateway->isOld = isOld;
    m_indexes[gateway->host] = index;
    gateways.push_back(std::move(gateway));
    startNode(index);
    return *gateways.back();
}

void simulated_fleet::restart(simulated_gateway &gateway)
{
    gateway.isRunning = true;
    startNode(m_indexes.at(gateway.host));
}

void simulated_fleet::startNode(std::size_t index)
{
    simulated_gateway &gateway = *gateways[index];
    ++gateway.generation;
    gateway.node =
        std::make_unique<exchange_node>(gateway.host, gateway.host, gateway.dataCentre, m_random() | 1, gateway);
    std::vector<std::string> seeds;
    for (std::size_t number = 0; number < std::min(m_seeds, gateways.size()); ++number) {
        seeds.push_back(gateways[number]->host);
    }
    gateway.node->addCandidates(seeds, m_now);
    push(m_now + std::chrono::milliseconds(m_random() % 40), index, gateway.generation, {}, {});
}

void simulated_fleet::push(time_point at, std::size_t gateway, std::uint64_t generation, std::string from,
                           std::string bytes)
{
    m_events.push({at, ++m_order, gateway, generation, std::move(from), std::move(bytes)});
}

bool simulated_fleet::isCut(const simulated_gateway &from, const simulated_gateway &to) const
{
    const bool crosses = from.dataCentre != to.dataCentre;
    return mute.contains(from.host) || deaf.contains(to.host)
        || (crosses && (cutDataCentres.contains(from.dataCentre) || cutDataCentres.contains(to.dataCentre)));
}

void simulated_fleet::sendAll(simulated_gateway &from)
{
    std::uniform_real_distribution<double> share(0, 1);
    for (outgoing_datagram &datagram : from.node->takeOutgoing()) {
        const auto found = m_indexes.find(datagram.host);
        if (found == m_indexes.end()) {
            continue;
        }
        const simulated_gateway &to = *gateways[found->second];
        const bool crosses = from.dataCentre != to.dataCentre;
        from.sentBytes += datagram.bytes.size() + headerBytes;
        from.crossBytes += crosses ? datagram.bytes.size() + headerBytes : 0;
        if (isCut(from, to) || share(m_random) < loss) {
            continue;
        }
        const int copies = share(m_random) < doubled ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto delay = (crosses ? 1400us : 300us)
                + std::chrono::microseconds(m_random() % (std::chrono::microseconds(jitter).count() + 1));
            push(m_now + delay, found->second, 0, from.host, datagram.bytes);
        }
    }
}

void simulated_fleet::deliver(std::size_t index, const std::string &from, const std::string &bytes)
{
    simulated_gateway &gateway = *gateways[index];
    if (!gateway.isRunning) {
        return;
    }
    if (m_now < gateway.frozenUntil) {
        push(gateway.frozenUntil, index, 0, from, bytes); // Waits in the socket.
        return;
    }
    gateway.hubMessages += isHubMessage(bytes) ? 1 : 0;
    gateway.storeMessages += bytes.starts_with("\xc1S") ? 1 : 0;
    if (gateway.isOld) {
        if (const auto report = decodeLoadReport(bytes, m_now)) {
            gateway.reports[from] = *report;
        }
        return;
    }
    const incoming_news news = gateway.node->receive(from, bytes, m_now);
    if (!news.groups.empty()) {
        gateway.heardGroups = news.groups;
        gateway.heardGroupsAt = m_now;
    }
    const std::uint64_t before = gateway.version;
    for (const quarantined_part &entry : news.evidence.quarantined) {
        if (std::ranges::find(gateway.known.quarantined, entry.part, &quarantined_part::part)
            == gateway.known.quarantined.end()) {
            gateway.known.quarantined.push_back(entry);
            ++gateway.version;
        }
    }
    if (!news.evidence.empty()) {
        gateway.node->onMerged(from, before);
    }
    sendAll(gateway);
}

void simulated_fleet::tick(std::size_t index)
{
    simulated_gateway &gateway = *gateways[index];
    if (m_now < gateway.frozenUntil) {
        push(gateway.frozenUntil, index, gateway.generation, {}, {});
        return;
    }
    if (beforeTick) {
        beforeTick(gateway);
    }
    if (gateway.isOld) {
        load_report report;
        report.incarnation = 1;
        report.sequence = ++m_order;
        report.dataCentre = gateway.dataCentre;
        for (const auto &[id, load] : gateway.loads) {
            report.running[id] = load.requests;
        }
        const std::string datagram = encodeLoadReport(report, m_now);
        for (const auto &other : gateways) {
            if (other.get() != &gateway) {
                push(m_now + 1ms, m_indexes.at(other->host), 0, gateway.host, datagram);
            }
        }
        push(m_now + 250ms, index, gateway.generation, {}, {});
        return;
    }
    gateway.node->tick(m_now);
    sendAll(gateway);
    push(m_now + gateway.node->tickInterval() + std::chrono::microseconds(m_random() % 2000), index, gateway.generation,
         {}, {});
}

void simulated_fleet::run(boot_clock::duration duration)
{
    const time_point end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        if (!next.from.empty()) {
            deliver(next.gateway, next.from, next.bytes);
        } else if (gateways[next.gateway]->isRunning && gateways[next.gateway]->generation == next.generation) {
            tick(next.gateway);
        }
    }
    m_now = end;
}

std::map<std::uint32_t, endpoint_load> simulated_fleet::truth(const simulated_gateway &except) const
{
    std::map<std::uint32_t, endpoint_load> total;
    for (const auto &gateway : gateways) {
        if (gateway.get() == &except || !gateway->isRunning) {
            continue;
        }
        for (const auto &[id, load] : gateway->loads) {
            endpoint_load &sum = total[endpointKey(id)];
            sum.requests += load.requests;
            sum.tokens += gateway->isOld ? 0 : load.tokens;
        }
    }
    std::erase_if(total, [](const auto &entry) { return entry.second == endpoint_load {}; });
    return total;
}

simulated_gateway *simulated_fleet::hubOf(const std::string &dataCentre)
{
    simulated_gateway *hub = nullptr;
    for (const auto &gateway : gateways) {
        if (gateway->isRunning && !gateway->isOld && gateway->dataCentre == dataCentre && gateway->node->isHub()) {
            if (hub != nullptr) {
                return nullptr;
            }
            hub = gateway.get();
        }
    }
    for (const auto &gateway : gateways) {
        if (hub != nullptr && gateway->isRunning && !gateway->isOld && gateway->dataCentre == dataCentre
            && gateway.get() != hub && gateway->node->hub() != hub->host) {
            return nullptr;
        }
    }
    return hub;
}

std::vector<std::string> simulated_fleet::wrongSums() const
{
    std::vector<std::string> wrong;
    for (const auto &gateway : gateways) {
        if (gateway->isRunning && !gateway->isOld && gateway->node->othersLoads(m_now) != truth(*gateway)) {
            wrong.push_back(gateway->host);
        }
    }
    return wrong;
}

} // namespace bronzechute
