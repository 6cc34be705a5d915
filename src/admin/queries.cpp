#include "admin/queries.h"

#include "admin/commands.h"

namespace ebonymount {
namespace {

Json target_document(const TargetStatus& target) {
    return {{"target", target.target},
            {"seat", target.group},
            {"stage", target.admission.stage},
            {"warm", target.admission.stage >= WARM_STAGE},
            {"broken", target.admission.broken},
            {"running", target.admission.running},
            {"queued", target.queued},
            {"mean_service_us", target.admission.mean_service_time.count()},
            {"connections_opened", target.connections_opened}};
}

Json lease_document(const GroupLease& lease, Time now) {
    return {{"epoch", lease.epoch},
            {"share_64ths", usable_share(lease, now)},
            {"remaining_ms", std::max<std::int64_t>(0, (lease.valid_until - now).count() / 1000)}};
}

}  // namespace

Queries::Queries(NodeState& state, PlatformClient& platform, const Relay& relay,
                 const Gateway& gateway)
    : m_state(state), m_platform(platform), m_relay(relay), m_gateway(gateway) {}

Json Queries::table() const {
    return to_document(m_state.view()->configuration);
}

Result<Json> Queries::draft() const {
    const Result<Draft> draft = read_draft(m_platform);
    if (!has_value(draft)) {
        return error_of(draft);
    }
    const Configuration& in_effect = m_state.view()->configuration;
    return Json{
        {"base_generation", value_of(draft).base_generation},
        {"configuration", to_document(value_of(draft).configuration)},
        {"changes", to_document(changes_between(in_effect, value_of(draft).configuration))}};
}

Result<Json> Queries::history() const {
    const PlatformList list = m_platform.list(HISTORY_PREFIX);
    if (list.status != StoreStatus::done) {
        return Error{ErrorCode::unavailable, "the platform does not respond", HISTORY_PREFIX};
    }
    std::map<std::int64_t, Configuration> generations;
    for (const PlatformObject& object : list.objects) {
        const Result<Json> document = parse_json(object.value, object.name);
        if (!has_value(document)) {
            continue;
        }
        const Result<Configuration> configuration = configuration_from(value_of(document));
        if (has_value(configuration)) {
            generations[value_of(configuration).generation] = value_of(configuration);
        }
    }
    Json result = Json::array();
    Configuration before;
    for (const auto& [generation, configuration] : generations) {
        result.push_back({{"generation", generation},
                          {"changes", to_document(changes_between(before, configuration))}});
        before = configuration;
    }
    return result;
}

Json Queries::status() const {
    const Time now = monotonic_now();
    const std::shared_ptr<const RoutingView> view = m_state.view();
    Json status = {{"node", m_state.self().node},
                   {"data_centre", m_state.self().data_centre},
                   {"generation", view->configuration.generation},
                   {"ready", m_state.is_ready(now)},
                   {"isolated", m_state.is_isolated(now)},
                   {"in_flight", m_gateway.in_flight()},
                   {"out_data_centres", view->configuration.out_of_service_data_centres},
                   {"out_hosts", view->configuration.out_of_service_hosts},
                   {"pending_out", view->pending_out_of_service_data_centres},
                   {"leaving_hosts", view->leaving_hosts},
                   {"leases", Json::object()},
                   {"seats", Json::object()},
                   {"targets", Json::array()},
                   {"extra_load", Json::object()}};
    for (const auto& [group, lease] : m_state.leases().held()) {
        status["leases"][group] = lease_document(lease, now);
    }
    for (const auto& [group, record] : view->groups) {
        status["seats"][group] = {{"holder", record.holder},
                                  {"epoch", record.epoch},
                                  {"share_64ths", record.share_64ths},
                                  {"released", record.released}};
    }
    for (const TargetStatus& target : m_relay.status()) {
        status["targets"].push_back(target_document(target));
    }
    for (const auto& [service, budget] : m_gateway.retry_budgets()) {
        status["extra_load"][service] = {{"planned", budget.planned}, {"extra", budget.extra}};
    }
    return status;
}

Json Queries::traces(std::size_t limit) const {
    Json result = Json::array();
    for (const Trace& trace : m_state.traces().latest(limit)) {
        Json spans = Json::array();
        for (const Span& span : trace.spans) {
            spans.push_back({{"name", span.name},
                             {"parent", span.parent},
                             {"start_us", span.start_us},
                             {"duration_us", span.duration_us},
                             {"detail", span.detail}});
        }
        result.push_back(
            {{"id", trace.id}, {"service", trace.service}, {"end", trace.end}, {"spans", spans}});
    }
    return result;
}

}  // namespace ebonymount
