#include "control/registration_task.hpp"

namespace siskinpaddle {

namespace {

constexpr milliseconds check_interval = 500ms;

/// Decodes a stored fleet record. Returns an empty record for an absent value and nothing for a damaged one.
std::optional<fleet_record> decode_stored_fleet(const stored_value& current) {
    if (current.version == 0) {
        return fleet_record{};
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<fleet_record>> {
            BOOST_LEAF_AUTO(fleet, decode_fleet(current.bytes));
            return std::optional<fleet_record>(std::move(fleet));
        },
        [] { return std::optional<fleet_record>(); });
}

} // namespace

registration_task::registration_task(event_loop& loop, const entry_settings& settings,
                                     platform_client& platform, state_task& state)
    : m_settings(settings), m_platform(platform), m_state(state),
      m_timer(loop.make_timer([this] { check_registration(); })) {}

void registration_task::start() {
    check_registration();
}

entry_record registration_task::make_own_record() const {
    return {m_settings.id,         m_settings.availability_zone, m_settings.peers.address,
            m_settings.peers.port, m_settings.operators.address, m_settings.operators.port,
            m_state.incarnation()};
}

void registration_task::check_registration() {
    if (m_deregistering) {
        return;
    }
    const bool registered = m_state.is_registered();
    if (m_was_registered && !registered) {
        log_event(event_id::registration_lost, {{"incarnation", m_state.incarnation()}});
    }
    m_was_registered = registered;
    if (!registered && !m_registering) {
        register_entry();
    }
    m_timer->start(check_interval);
}

void registration_task::register_entry() {
    m_registering = true;
    const auto change = [this](const stored_value& current) -> std::optional<std::string> {
        std::optional<fleet_record> fleet = decode_stored_fleet(current);
        if (!fleet || m_deregistering) {
            return std::nullopt;
        }
        if (const entry_record* existing = fleet->find_entry(m_settings.id)) {
            if (*existing == make_own_record()) {
                return std::nullopt; // Stored by an earlier write whose answer was lost.
            }
            // This process has bound the port of the registration, so the registered process has ended.
            m_state.raise_incarnation(existing->incarnation);
        }
        fleet->put_entry(make_own_record());
        ++fleet->revision;
        fleet->write_id = m_settings.id + "-register-" + std::to_string(m_state.incarnation());
        return encode_fleet(*fleet);
    };
    m_platform.update(std::string(fleet_value), std::nullopt, change, [this](const store_answer& answer) {
        m_registering = false;
        if (answer.status != store_status::ok) {
            log_event(event_id::registration_failed, {{"status", name_of(answer.status)}});
            return;
        }
        m_state.apply_value(std::string(fleet_value), answer.value);
        if (m_state.is_registered()) {
            log_event(event_id::registered,
                      {{"incarnation", m_state.incarnation()}, {"fleet", m_state.fleet().revision}});
        }
    });
}

void registration_task::deregister(std::function<void(bool)> done) {
    m_deregistering = true;
    const auto change = [this](const stored_value& current) -> std::optional<std::string> {
        std::optional<fleet_record> fleet = decode_stored_fleet(current);
        const entry_record* existing = fleet ? fleet->find_entry(m_settings.id) : nullptr;
        if (existing == nullptr || existing->incarnation != m_state.incarnation()) {
            return std::nullopt;
        }
        fleet->remove_entry(m_settings.id);
        ++fleet->revision;
        fleet->write_id = m_settings.id + "-deregister-" + std::to_string(m_state.incarnation());
        return encode_fleet(*fleet);
    };
    m_platform.update(std::string(fleet_value), std::nullopt, change,
                      [done = std::move(done)](const store_answer& answer) {
                          log_event(event_id::deregistered, {{"status", name_of(answer.status)}});
                          done(answer.status == store_status::ok);
                      });
}

} // namespace siskinpaddle
