package org.cicadaarch.orders

import kotlin.test.assertTrue
import org.cicadaarch.model.fleet.WantedState

/** A model engine with a simulated load time. It asserts that it never applies an order from an older holder. */
internal class FakeEngine(private val time: VirtualTime, val name: String, val checksFencing: Boolean) {
    private var newestFencingToken = 0L
    private var loadNumber = 0
    var serving: WantedState? = null
        private set
    var loading: WantedState? = null
        private set

    fun order(state: WantedState, fencingToken: Long, isCheckBroken: Boolean): OrderResult {
        if (checksFencing && !isCheckBroken && fencingToken < newestFencingToken) return OrderResult.OLD_FENCING_NUMBER
        assertTrue(
            fencingToken >= newestFencingToken,
            "$name applied an order with fencing token $fencingToken after one with $newestFencingToken",
        )
        newestFencingToken = fencingToken
        if (state == (loading ?: serving)) return OrderResult.ACCEPTED
        loading = state
        val number = ++loadNumber
        time.after(LOAD_MILLISECONDS) {
            if (number == loadNumber) {
                serving = state
                loading = null
            }
        }
        return OrderResult.ACCEPTED
    }

    fun restart() {
        loadNumber += 1
        serving = null
        loading = null
    }

    private companion object {
        const val LOAD_MILLISECONDS = 1_200L
    }
}
