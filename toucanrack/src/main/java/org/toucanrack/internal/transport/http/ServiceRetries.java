package org.toucanrack.internal.transport.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.toucanrack.configuration.Service;
import org.toucanrack.id.RouteId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.retry.HedgeDelay;
import org.toucanrack.internal.coordination.retry.RetryBudget;

/** Retry budgets of services and hedge delays of routes. Thread-safe. */
final class ServiceRetries {

  private record RouteKey(ServiceId service, RouteId route) {}

  private record BudgetKey(ServiceId service, double fraction) {}

  private final Map<BudgetKey, RetryBudget> budgets = new ConcurrentHashMap<>();
  private final Map<RouteKey, HedgeDelay> delays = new ConcurrentHashMap<>();

  RetryBudget budget(Service service) {
    return budgets.computeIfAbsent(
        new BudgetKey(service.id(), service.retryBudgetFraction()),
        key -> new RetryBudget(key.fraction()));
  }

  HedgeDelay hedgeDelay(AdmittedRequest request) {
    return delays.computeIfAbsent(
        new RouteKey(request.service().id(), request.route().id()), key -> new HedgeDelay());
  }
}
