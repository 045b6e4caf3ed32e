#include "node/configuration_task.hpp"

#include "telemetry/telemetry.hpp"

namespace siskinpaddle::node {

namespace {

/// A version must be in force within two seconds; a watch whose connection went silent must be noticed well
/// within that.
constexpr milliseconds watch_wait = 1s;

} // namespace

configuration_task::configuration_task(event_loop& loop, platform::store_client& store,
                                       std::function<void()> on_change)
    : m_on_change(std::move(on_change)),
      m_watch(loop, store, std::string(platform::operator_prefix), watch_wait,
              [this](const platform::store_item& item) { take(item); }) {}

void configuration_task::heard_of(std::int64_t version) {
    if (known() && version > m_current.version) {
        m_watch.refresh();
    }
}

void configuration_task::take(const platform::store_item& item) {
    if (item.key.starts_with(platform::wave_prefix)) {
        const auto wave = platform::decode_wave(item.value);
        if (!item.deleted && wave) {
            m_waves[wave->number] = *wave;
            log_event(event_id::wave_seen, {{"wave", wave->number},
                                            {"machines", wave->machines.size()},
                                            {"at_once", wave->at_once},
                                            {"duration_ms", wave->duration.count()}});
            m_on_change();
        }
        return;
    }
    if (item.key != platform::configuration_key || item.deleted) {
        return;
    }
    auto configuration = platform::decode_configuration(item.value);
    if (!configuration) {
        log_event(event_id::fleet_config_damaged, {{"revision", item.revision}});
        return;
    }
    if (configuration->version <= m_current.version) {
        return;
    }
    log_event(event_id::fleet_config_in_force, {{"version", configuration->version},
                                                {"before", m_current.version},
                                                {"revision", item.revision},
                                                {"queues", configuration->queues.size()}});
    m_current = std::move(*configuration);
    m_on_change();
}

} // namespace siskinpaddle::node
