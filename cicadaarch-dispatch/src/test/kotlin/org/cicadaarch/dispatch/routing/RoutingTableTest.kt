package org.cicadaarch.dispatch.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ServiceName

class RoutingTableTest {
    private val account = ClientAccount(AccountId("account"), priority = 1)
    private val table = table(mapOf("secret" to account))

    @Test
    fun `Given nested prefixes, when a path is looked up, then the route with the longest matching prefix is found`() {
        val cases = mapOf(
            "/" to "root",
            "/orders" to "root",
            "/orders/" to "orders",
            "/orders/7" to "orders",
            "/orders/new/7/8" to "new",
            "/orders/newer" to "orders",
        )
        cases.forEach { (path, route) -> assertEquals(route, table.route("service.example", path)?.name, path) }
        assertEquals(null, table.route("other.example", "/orders/"))
    }

    @Test
    fun `Given client accounts, when a request is authorized, then the result depends on the route and the key`() {
        val protectedRoute = route("protected", "/protected/", isPublic = false)
        val publicRoute = route("public", "/public/", isPublic = true)
        assertEquals(Authorization.Granted(account), table.authorize(protectedRoute, "secret"))
        assertEquals(Authorization.Denied, table.authorize(protectedRoute, "wrong"))
        assertEquals(Authorization.Denied, table.authorize(protectedRoute, null))
        assertEquals(Authorization.NotRequired, table.authorize(publicRoute, null))
        assertEquals(Authorization.NotRequired, table(accounts = null).authorize(protectedRoute, null))
    }

    @Test
    fun `Given weighted services, when requests have evenly spread hashes, then each service gets its share`() {
        val split = route("split", "/split/", isPublic = true).copy(
            destinations = listOf(WeightedService(ServiceName("a"), 90), WeightedService(ServiceName("b"), 10)),
        )
        val counts = (0L until 100L).groupingBy { split.serviceFor(it).value }.eachCount()
        assertEquals(mapOf("a" to 90, "b" to 10), counts)
        assertEquals("b", split.serviceFor(-1).value)
    }

    private fun table(accounts: Map<String, ClientAccount>?) = RoutingTable(
        version = 1,
        routes = listOf(route("root", "/"), route("orders", "/orders/"), route("new", "/orders/new/")),
        services = emptyMap(),
        accountsByKey = accounts,
        limits = ClientLimits(headerBytes = 1, bodyBytes = 1, headerTimeout = 1.seconds, idleTimeout = 1.seconds),
    )

    private fun route(name: String, prefix: String, isPublic: Boolean = false) = Route(
        name = name,
        host = "service.example",
        prefix = prefix,
        destinations = listOf(WeightedService(ServiceName("a"), 1)),
        retryPolicy = RetryPolicy.AT_MOST_ONCE,
        isStream = false,
        timeout = 1.seconds,
        latencyObjective = 1.seconds,
        priority = 0,
        maximumAttempts = 1,
        isPublic = isPublic,
        hasPromptAffinity = false,
    )
}
