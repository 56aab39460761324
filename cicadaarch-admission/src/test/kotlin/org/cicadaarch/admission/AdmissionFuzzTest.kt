package org.cicadaarch.admission

import kotlin.test.assertFailsWith
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer
import org.cicadaarch.admission.AdmissionMessage.PermitReleased

/**
 * Compares an owner with [AdmissionModel] over random sequences of requests, releases, renewals and pauses, which
 * include duplicate and delayed messages.
 */
class AdmissionFuzzTest {
    @Property(tries = 400, seed = "20261204")
    fun `Given random requests and releases, when an owner handles them, then its state agrees with the oracle`(
        @ForAll("chains") chain: ActionChain<AdmissionModelHandle>,
    ) {
        chain.run()
    }

    @Example
    fun `Given a release that ends two permits, when the oracle compares the state, then it fails`() {
        val model = AdmissionModel { state, event, now ->
            val step = AdmissionReducer().reduce(state, event, now)
            val release = (event as? AdmissionEvent.Received)?.message as? PermitReleased
            val targetState = release?.let { step.state.targets[it.target] }
            val otherPermit = targetState?.permits?.keys?.firstOrNull()
            if (otherPermit == null) {
                step
            } else {
                val faulty = targetState.copy(permits = targetState.permits.remove(otherPermit))
                step.copy(state = step.state.copy(targets = step.state.targets.put(release.target, faulty)))
            }
        }
        (1..2).forEach { model.request(it, target = 1, account = 1, timeAllowedMilliseconds = 5_000, redirects = 3) }
        assertFailsWith<IllegalStateException> { model.release(attempt = 1, target = 1) }
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<AdmissionModelHandle>> =
        ActionChain.startWith { AdmissionModelHandle(AdmissionModel(AdmissionReducer()::reduce)) }
            .withAction(4, RandomRequest())
            .withAction(3, RandomRelease())
            .withAction(1, RandomRenewal())
            .withAction(2, RandomPause())
            .withMaxTransformations(80)

    class RandomRequest : Action.Independent<AdmissionModelHandle> {
        override fun transformer(): Arbitrary<Transformer<AdmissionModelHandle>> = Combinators.combine(
            attempts(),
            targets(),
            Arbitraries.integers().between(1, 3),
            Arbitraries.integers().between(50, 4_000),
            Arbitraries.integers().between(0, 3),
        ).`as` { attempt, target, account, timeAllowed, redirects ->
            Transformer.mutate("request $attempt on $target of account $account") {
                it.model.request(attempt, target, account, timeAllowed, redirects)
            }
        }
    }

    class RandomRelease : Action.Independent<AdmissionModelHandle> {
        override fun transformer(): Arbitrary<Transformer<AdmissionModelHandle>> =
            Combinators.combine(attempts(), targets()).`as` { attempt, target ->
                Transformer.mutate("release $attempt on $target") { it.model.release(attempt, target) }
            }
    }

    class RandomRenewal : Action.Independent<AdmissionModelHandle> {
        override fun transformer(): Arbitrary<Transformer<AdmissionModelHandle>> =
            Combinators.combine(attempts(), targets()).`as` { attempt, target ->
                Transformer.mutate("renew $attempt on $target") { it.model.renew(attempt, target) }
            }
    }

    class RandomPause : Action.Independent<AdmissionModelHandle> {
        override fun transformer(): Arbitrary<Transformer<AdmissionModelHandle>> =
            Arbitraries.of(1, 3, 30, 110).map { ticks ->
                Transformer.mutate("pause of $ticks ticks") { it.model.advance(ticks) }
            }
    }

    /** Public, because jqwik has to resolve the type argument of the chain. */
    class AdmissionModelHandle internal constructor(internal val model: AdmissionModel)

    companion object {
        private fun attempts() = Arbitraries.integers().between(1, 14)

        private fun targets() = Arbitraries.integers().between(1, AdmissionModel.TARGETS)
    }
}
